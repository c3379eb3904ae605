// Builders of the gateway's inputs for tests: configurations, host lists, commands, and discovery's and
// hosts' replies.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "emulators/peer.h"
#include "resp/resp_writer.h"

namespace cometfold::emulators {

inline std::string target(const std::string& uid, int port, const std::string& state = "active") {
  return R"({"uid":")" + uid + R"(","endpoint":"127.0.0.1:)" + std::to_string(port) +
         R"(","az":"a","model":"m","pod_group":0,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}
inline std::string list(int rev, bool all, const std::vector<std::string>& targets) {
  std::string text;
  for (const auto& t : targets) text += (text.empty() ? "" : ",") + t;
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" +
         text + "]}";
}

// The gateway reuses a host's connection only after a rest; this waits for longer than that.
inline void wait_for_connection_rest() { std::this_thread::sleep_for(std::chrono::milliseconds(80)); }

// A configuration with a safe, a keyed and an unsafe class. Its timeouts are long enough for slow machines.
inline boost::json::object config(const std::string& known, int discovery_port) {
  auto json = boost::json::parse(R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "settings":{"az":0,"granularity_ms":4.0,"siblings":2,"zones":["a"],"host_types":["m"],
     "lanes":[{"name":"lookup","semantics":"safe","slo_ms":20000.0,"deadline_ms":60000.0,"worth":1.0},
              {"name":"hold","semantics":"keyed","group":"all","key_ttl_ms":60000.0,"slo_ms":20000.0,
               "deadline_ms":60000.0,"worth":1.0},
              {"name":"pay","semantics":"unsafe","slo_ms":20000.0,"deadline_ms":60000.0,"worth":1.0}],
     "packages":[{"name":"team","quota_rate":100000.0,"burst":100000.0,"pays":1.0,"overrun_cost":1.0,
       "beyond_earns":0.0,"hard_rate":0.0,"hard_burst":0.0,"ceiling_slack":0.0,"concurrency":0}],
     "ceilings":{"second_copies":false,"cancel":true,"retry_after":true,"max_attempts":4,"max_open":10000,
       "max_retry_after_ms":1000.0,"conn_idle_ms":60000.0,"connect_timeout_ms":60000.0},
     "load_report":{"fields":["depth"],"how":"inline"},
     "rules":{"cold_from":0.2,"warm_after_ms":10000.0,"overload_factor":2.0,"fall_ms":1000.0},
     "family_info":{"units_top":4}}})")
                  .as_object();
  json["discovery"] = "127.0.0.1:" + std::to_string(discovery_port);
  json["known"] = boost::json::parse(known);
  return json;
}

// Discovery's side of a watch: reads the request, sends the response header and returns the request line.
inline std::string answer_watch_request(Peer& peer) {
  const auto first = peer.line();
  while (!peer.line().empty()) {
  }
  peer.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  return first;
}
inline void chunk(Peer& peer, const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  peer.send(size + text + "\r\n");
}
// Discovery's side of a request for the full host list: reads the request and replies with `text`.
inline void answer_list_request(Peer& peer, const std::string& text) {
  if (peer.line().substr(0, 22) != "GET /api/targets HTTP/")
    throw PeerError("the request is not GET /api/targets");
  while (!peer.line().empty()) {
  }
  peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
}

inline std::string command(const std::vector<std::string>& words) {
  std::string text;
  resp::append_array(text, words.size());
  for (const auto& w : words) resp::append_bulk(text, w);
  return text;
}
inline std::string id(unsigned n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", n);
  return text;
}
inline std::string query(unsigned n, const std::string& d = "30000") {
  return command({"SVC.QUERY", id(n), id(n), "c=lookup,t=team,d=" + d + ",units=1,spread=2,first=0"});
}
inline std::string submit(const std::string& cls, unsigned n, const std::string& body = "BODY") {
  return command(
      {"SVC.SUBMIT", id(n), id(n), "c=" + cls + ",t=team,d=30000,k=ab,units=1,spread=2,first=0", body});
}
inline std::string served(const std::string& value) {
  return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$7\r\ndepth=0\r\n";
}

}  // namespace cometfold::emulators
