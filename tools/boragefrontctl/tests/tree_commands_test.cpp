/// \file
/// The commands on configuration trees, as a process.
#include "support/run_program.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace boragefront::support;
namespace fs = std::filesystem;

namespace {

const std::string cooperativa = EXAMPLES "/cooperativa";
const std::string ramcharan = EXAMPLES "/ramcharan";

program_outcome ctl(const std::vector<std::string>& arguments) {
    return run_program(BORAGEFRONTCTL, arguments);
}

// A copy of an example tree that exists as long as this object.
class tree_copy {
public:
    tree_copy() { fs::copy(cooperativa, root_, fs::copy_options::recursive); }
    ~tree_copy() { fs::remove_all(root_); }
    tree_copy(const tree_copy&) = delete;
    tree_copy& operator=(const tree_copy&) = delete;

    std::string path() const { return root_.string(); }
    void put(const std::string& file, const std::string& text) const {
        fs::create_directories((root_ / file).parent_path());
        std::ofstream{root_ / file} << text;
    }
    void remove(const std::string& file) const { fs::remove(root_ / file); }

private:
    fs::path root_{fs::temp_directory_path() / ("ctl_test_" + std::to_string(::getpid()))};
};

} // namespace

TEST_CASE("the example trees are valid") {
    for (const auto& tree : {cooperativa, ramcharan}) {
        const auto outcome = ctl({"validate", tree});
        CAPTURE(tree, outcome.errors);
        REQUIRE(outcome.status == 0);
    }
}

TEST_CASE("validate names the key and the path of every fault") {
    const tree_copy tree;
    tree.put("profiles/orders.json", R"({"retry": {"max_attempts": 99}})");
    tree.put("services/stock.json", R"({"kind": "plain", "pool": "p", "profile": "none"})");
    tree.put("pools/engines.json", R"({"kind": "engine" "profile": 1})");
    tree.put("services/notes.txt", "not a key");
    const auto outcome = ctl({"validate", tree.path()});
    REQUIRE(outcome.status == 1);
    REQUIRE(outcome.output.empty());
    for (const auto* part : {"profiles/orders: retry.max_attempts: found 99",
                             "services/stock: ", "pools/engines: ", "services/notes.txt: "}) {
        REQUIRE_THAT(outcome.errors, Catch::Contains(part));
    }
    const auto as_json = ctl({"validate", tree.path(), "--json"});
    REQUIRE(as_json.status == 1);
    const auto faults = boost::json::parse(as_json.output).at("faults").as_array();
    REQUIRE(faults.size() >= 4);
}

TEST_CASE("validate refuses what it cannot read") {
    REQUIRE(ctl({"validate", "no/such/folder"}).status == 2);
    REQUIRE(ctl({"validate"}).status == 2);
}

TEST_CASE("config diff shows the fields that differ, comments aside") {
    const tree_copy tree;
    REQUIRE(ctl({"config", "diff", cooperativa, tree.path()}).status == 0);
    tree.put("data_centres/oaxaca-ctr.json", "// closed for repairs\n{\"state\": \"out\"}");
    tree.put("endpoints/engines-1.json", R"({"state": "out"})");
    tree.remove("services/stock.json");
    const auto outcome = ctl({"config", "diff", cooperativa, tree.path()});
    REQUIRE(outcome.status == 1);
    REQUIRE(outcome.output == "~ data_centres/oaxaca-ctr: state: \"in\" -> \"out\"\n"
                              "+ endpoints/engines-1\n"
                              "- services/stock\n");
    const auto as_json = ctl({"config", "diff", cooperativa, tree.path(), "--json"});
    REQUIRE(boost::json::parse(as_json.output).at("differences").as_array().size() == 3);
    REQUIRE(ctl({"config", "diff", tree.path(), "no/such/folder"}).status == 2);
}

TEST_CASE("config shard tells the key of a workspace") {
    REQUIRE(ctl({"config", "shard", "artesanos-centro"}).output == "workspaces/2c\n");
}

TEST_CASE("an unknown command is refused and help is not") {
    REQUIRE(ctl({}).status == 2);
    REQUIRE(ctl({"config"}).status == 2);
    REQUIRE(ctl({"frobnicate"}).status == 2);
    REQUIRE_THAT(ctl({"--help"}).output, Catch::Contains("validate DIR"));
}
