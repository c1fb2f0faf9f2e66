# What a router that follows another one asks it about a topic of the store, and the answer. Regenerate with
# `capnp compile -oc++ wire/topics.capnp`; the generated files are committed.
@0xe6d1b07a94c3f258;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafold::wire");

struct TopicQuestion {
  topic @0 :UInt8;
  hasEra @1 :Bool;
  era @2 :Int64;         # of the store, as the asker knows it
  hasFrom @3 :Bool;
  from @4 :Int64;        # offset up to which the asker knows the topic; if not set it wants all records
  waitMillis @5 :UInt32; # the answer may wait so long for news
}

struct TopicAnswer {
  isKnown @0 :Bool;          # otherwise the asked router has not read the topic yet, and only isStoreLost counts
  isListing @1 :Bool;        # all records, not only changes
  isStoreLost @2 :Bool;      # the asked router gets no answer of the store
  hasEra @3 :Bool;
  era @4 :Int64;
  end @5 :Int64;
  provedMicros @6 :Int64;    # from the arrival of the question to the moment at which the topic was known to end there;
                             # negative: before it
  returnedMillis @7 :UInt32; # since the store came back, after it had been lost; at most a minute is told
  records @8 :List(TopicRecord);
  isTooLarge @9 :Bool;       # there are records, which the asker is to read from the store: the link is too narrow
}

struct TopicRecord { key @0 :Data; value @1 :Data; offset @2 :Int64; }
