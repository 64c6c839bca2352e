#include "published_tree.hpp"

#include "config/types.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <map>

namespace boragefront::control_cost {
namespace {

namespace json = boost::json;

void write(const std::filesystem::path& folder, const std::string& key, const json::value& value) {
    const auto file = folder / (key + ".json");
    std::filesystem::create_directories(file.parent_path());
    std::ofstream{file} << json::serialize(value);
}

void write_workspaces(const std::filesystem::path& folder, unsigned count) {
    std::map<std::string, json::object> shards;
    for (unsigned i = 0; i < count; ++i) {
        const auto name = "workspace-" + std::to_string(i);
        const json::object limits{{"share", 1.0}, {"rate", 50.0}, {"max_in_flight", 100}};
        shards[config::workspace_shard(name)][name] = limits;
    }
    for (auto& [shard, workspaces] : shards) {
        write(folder, "workspaces/" + shard, json::object{{"workspaces", std::move(workspaces)}});
    }
}

json::object stage(const std::string& name) {
    return {{"name", name}, {"pool", name}};
}

void write_services(const std::filesystem::path& folder, const tree_size& size) {
    for (unsigned i = 0; i < size.pipelines; ++i) {
        auto generation = stage("engine-" + std::to_string(i % size.models));
        generation["name"] = "generate";
        const json::array stages{stage("encoder"), stage("retriever"), stage("reranker"),
                                 std::move(generation)};
        write(folder, "services/pipeline-" + std::to_string(i),
              json::object{{"kind", "pipeline"},
                           {"profile", "model"},
                           {"repeatable", true},
                           {"stages", stages}});
    }
    write(folder, "services/orders",
          json::object{{"kind", "plain"}, {"pool", "orders"}, {"profile", "orders"}});
}

} // namespace

std::vector<std::string> write_tree(const std::filesystem::path& folder, const tree_size& size) {
    write(folder, "profiles/model", json::object{{"deadline_ms", 11'000}});
    write(folder, "profiles/orders", json::object{{"priority", "urgent"}});
    std::vector<std::string> pools;
    const auto add_pool = [&](const std::string& name, const std::string& kind) {
        const auto* profile = kind == "plain" ? "orders" : "model";
        write(folder, "pools/" + name, json::object{{"kind", kind}, {"profile", profile}});
        pools.push_back(name);
    };
    for (const auto* kind : {"encoder", "retriever", "reranker"}) {
        add_pool(kind, kind);
    }
    for (unsigned i = 0; i < size.models; ++i) {
        add_pool("engine-" + std::to_string(i), "engine");
    }
    add_pool("orders", "plain");
    write_services(folder, size);
    write_workspaces(folder, size.workspaces);
    for (unsigned i = 0; i < size.data_centres; ++i) {
        write(folder, "data_centres/dc-" + std::to_string(i), json::object{{"state", "in"}});
    }
    return pools;
}

} // namespace boragefront::control_cost
