# What the store holds of where streams began: one record, which a router has written. Regenerate with
# `capnp compile -oc++ wire/storedorigins.capnp`; the generated files are committed.
@0xc81dcec8e5646e36;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafold::wire");

struct StoredOrigins {
  writtenMillis @0 :Int64; # Unix time; the streams began shortly before
  groups @1 :List(VersionGroup);
}

# Streams that began at one version.
struct VersionGroup {
  version @0 :UInt32;        # hash of its name
  streams @1 :List(UInt64);  # hashes of their services and first requests
}
