// Settings and contracts as INI: every fault is reported at once, with file, section, key, value and what is allowed.
#include "galenafold/settings.h"
#include "control/contracts.h"

#include <CppUTest/TestHarness.h>

using namespace galenafold;

static std::vector<IniError> faultsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<IniError>> {
            BOOST_LEAF_CHECK(parseSettings("test.ini", text));
            return std::vector<IniError>();
        },
        [](const SettingsErrors &errors) { return errors.errors; }, [] { return std::vector<IniError>(); });
}

static const std::string goodSettings = "[daemon]\nname = entry-1\naddress = 127.0.0.1\ndata_centre = dc-1\n"
                                        "http_port = 0\npeer_port = 0\n[platform]\nlog = 127.0.0.1:1\n"
                                        "vm_list = 127.0.0.1:2\n";

TEST_GROUP(Settings){};

TEST(Settings, goodOnesHaveNoFault)
{
    LONGS_EQUAL(0, faultsOf(goodSettings).size());
}

TEST(Settings, everyFaultIsReported)
{
    const auto errors = faultsOf(goodSettings + "[placement]\nload_bound = much\nspeed = 3\n[queue]\ncapacity = -1\n");
    LONGS_EQUAL(3, errors.size());
    STRCMP_EQUAL("test.ini: [placement] load_bound = 'much': a number from 1 to 10 is allowed",
                 errors[0].message().c_str());
    STRCMP_EQUAL("test.ini: [placement] speed = '3': unknown key; remove it", errors[1].message().c_str());
    CHECK(errors[2].message().find("[queue] capacity = '-1'") != std::string::npos);
}

TEST(Settings, missingKeysAreFaults)
{
    LONGS_EQUAL(7, faultsOf("").size());
}

TEST(Settings, textThatIsNoIniIsAFault)
{
    CHECK(!faultsOf(goodSettings + "[open\n").empty());
}

TEST_GROUP(ContractText){};

static std::size_t contractFaults(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::size_t> {
            BOOST_LEAF_CHECK(parseContract("c.ini", text));
            return std::size_t(0);
        },
        [](const ContractErrors &errors) { return errors.errors.size(); }, [] { return std::size_t(99); });
}

static const std::string goodContract =
    "[contract]\ncustomer = a\nrate = 1\nconcurrency = 1\n[key.k]\nsha256 = " + std::string(64, 'a') + "\n";

TEST(ContractText, goodOneHasNoFault)
{
    LONGS_EQUAL(0, contractFaults(goodContract));
}

TEST(ContractText, faultsOfKeysClassesAndNumbers)
{
    LONGS_EQUAL(1, contractFaults(goodContract + "[key.l]\nsha256 = SECRET\n"));
    LONGS_EQUAL(1, contractFaults(goodContract + "[class.x]\nlane = middle\n"));
    LONGS_EQUAL(1, contractFaults(goodContract + "[class.x]\ntask = x\n"));
    LONGS_EQUAL(1, contractFaults("[contract]\ncustomer = a\nrate = 1\nconcurrency = 1\n"));
}

static std::vector<std::string> routerFaultsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
            BOOST_LEAF_CHECK(parseRouterSettings("router.ini", text));
            return std::vector<std::string>();
        },
        [](const SettingsErrors &errors) {
            std::vector<std::string> messages;
            for (const IniError &fault : errors.errors) {
                messages.push_back(fault.message());
            }
            return messages;
        },
        [] { return std::vector<std::string>{"another error"}; });
}

TEST(Settings, OfTheUsersPlatformAreCheckedWhole)
{
    const std::string good =
        "[router]\nname = a\ndata_centre = z\n[listen]\ncallers = 10.0.0.1:1\nadmin = 10.0.0.1:2\n"
        "peers = 10.0.0.1:3\n[peers]\nseeds = 10.0.0.2:3,10.0.0.3:3\n[store]\naddress = 10.0.0.9:4\n"
        "[promises]\nrevoke_within_ms = 5000\ndrain_within_s = 7.5\n";
    LONGS_EQUAL(0, routerFaultsOf(good).size());
    CHECK(hasStoreSection(good));
    CHECK(!hasStoreSection("[platform]\nlog = x\n"));
    const auto errors = routerFaultsOf("[router]\nname = a\n[promises]\nrevoke_within_ms = soon\nodd = 1\n");
    CHECK(errors.size() >= 6); // all at once: five missing keys, a value and an unknown key
}
