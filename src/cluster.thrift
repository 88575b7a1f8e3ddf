// Messages between the instances of a deployment for its coordination.
// Compact protocol, one message per datagram.
namespace cpp trefoilwick.wire

// Work in progress on one server.
struct Load {
  // Position of the server in the sorted ids of a server list.
  1: i32 server
  2: i64 token_layers
  3: i32 sequences
}

// Sends to the servers of one service in the current window of its retry
// budget.
struct ServiceSends {
  1: string service_name
  // First and repeated sends.
  2: i32 requests
  3: i32 retries
  // In sums: part of `retries` that no other instance than the coordinator
  // reports.
  4: i32 unreported_retries
}

// A request whose server crashed before the request began.
struct Crash {
  // Hashes of the send, of the server's process and of the request's traits.
  1: i64 id
  2: i64 server
  3: list<i64> traits
  // Milliseconds since the crash.
  4: i32 age_ms
}

// The last request with a trait that began.
struct TraitStart {
  1: i64 trait
  // Milliseconds since it was sent.
  2: i32 age_ms
}

// What happens to requests with all of these traits: they are refused, unless the
// entry is on trial or lifted.
struct QuarantineEntry {
  1: list<i64> traits
  // Zero for an entry that is lifted.
  2: i32 remaining_ms
  3: bool on_trial
  4: bool lifted
  // Of the coordinator that decided last, and the number of its decision.
  5: i64 fencing_token
  6: i64 decision
}

// What a backend server said of the requests that it takes from all instances.
struct ServerLimit {
  1: string server
  // Thousandths of a request a second; negative when it takes any number.
  2: i64 per_second_milli
  // Milliseconds since the answer that said so.
  3: i32 age_ms
  // Requests that choose the server, in thousandths a second: of the instance
  // in a report, of all instances in a heartbeat.
  4: i32 demand_milli
}

// A backend server that announced its shutdown in an answer.
struct LeavingServer {
  1: string server
  // Start time of its process in milliseconds since the Unix epoch.
  2: i64 born
  // Milliseconds since its last answer that said so.
  3: i32 age_ms
}

// What the requests of one account and rank ask for, admitted or not.
struct Demand {
  // Hash of the account's name.
  1: i64 account
  2: i32 rank
  // Tokens of KV memory.
  3: i32 tokens_per_second
}

// From every instance to the coordinator.
struct Report {
  1: string ip
  2: string data_center
  3: i64 incarnation
  4: bool accepting
  5: i32 cpu_milli
  6: i64 config_version
  7: i64 list_version
  8: list<Load> loads
  // Servers that the instance cannot reach.
  9: list<string> down
  // First and repeated sends to all services, for a coordinator that does not
  // read `sends`.
  11: i32 requests
  12: i32 retries
  // Hash of the ids that the positions in `loads` refer to.
  13: i64 names_key
  // Milliseconds since the process started.
  14: i32 age_ms
  15: list<ServiceSends> sends
  // Sends of all instances as an earlier coordinator summed them, and the
  // milliseconds since that sum was complete. Unset when the present one
  // summed them.
  16: optional list<ServiceSends> earlier_sends
  17: optional i32 earlier_sends_age_ms
  // Crashes that the coordinator may not know yet, and starts of requests with
  // traits that it suspects.
  18: list<Crash> crashes
  19: list<TraitStart> starts
  // Set for a coordinator that may not know them.
  20: list<QuarantineEntry> quarantine
  21: list<ServerLimit> limits
  // Those that the server list shows as ready.
  22: list<LeavingServer> leaving
  // Of this instance, while it sees a shortage of capacity.
  23: list<Demand> demand
  // Era of the store in which `list_version` counts; 0 or unset when the store
  // does not name its era.
  24: i64 list_era
}

struct Member {
  // IPv4 address.
  1: i32 ip
  2: bool accepting
  3: i32 cpu_milli
}

struct DataCenterMembers {
  1: string data_center
  2: list<Member> members
}

// A range of layers of a server that the server list does not show yet.
struct Order {
  1: string server
  2: i32 layer_from
  3: i32 layer_to
}

// Heartbeat from the coordinator to every instance.
struct Beat {
  // Fencing token.
  1: i64 fence
  2: string ip
  3: i64 config_version
  4: i64 list_version
  // Milliseconds since the server list was read.
  5: i32 list_age_ms
  // Left out of most heartbeats of a large deployment.
  6: list<DataCenterMembers> members
  7: list<Load> loads
  // Servers that most instances cannot reach.
  8: list<string> down
  9: bool store_reachable
  // Placement orders that the server list does not show yet.
  10: list<Order> orders
  // Sums over all instances and services, for instances that do not read
  // `sends`.
  11: i32 requests
  12: i32 retries
  // Layers that servers reported after the list was read.
  13: list<Order> held
  // Hash of the ids that the positions in `loads` refer to.
  14: i64 names_key
  // Part of `retries` that no other instance than the sender reports.
  15: i32 unreported_retries
  // Number of instances that share the retry budget.
  16: i32 instances
  // Not all instances have reported to this coordinator yet: `loads` and
  // `sends` are what it knew before.
  17: bool sums_incomplete
  // Sums over all instances.
  18: list<ServiceSends> sends
  // `sends` does not contain what instances that have ended retried in the
  // window.
  19: bool earlier_sends_unknown
  // Traits for which the starts of all instances must be known.
  20: list<i64> suspects
  21: list<QuarantineEntry> quarantine
  22: list<ServerLimit> limits
  // Those that the server list shows as ready.
  23: list<LeavingServer> leaving
  // Of all instances that see a shortage of capacity, the largest entries.
  24: list<Demand> demand
  // Number of the change of the configuration that the sender is reading; 0 or
  // unset when it reads none.
  25: i64 config_change
  // Era of the store in which `list_version` counts; 0 or unset when the store
  // does not name its era.
  26: i64 list_era
}

struct Server {
  1: string id
  2: string service_name
  3: string address
  4: string data_center
  5: bool draining
  6: string kind
  7: i32 layer_from
  8: i32 layer_to
  // Start time in milliseconds since the Unix epoch.
  9: i64 born
}

// The server list, from the coordinator to an instance that has an older one.
struct ServerList {
  // Fencing token.
  1: i64 fence
  2: i64 version
  3: i32 age_ms
  4: list<Server> servers
  // Era of the store in which `version` counts; 0 or unset when the store does
  // not name its era.
  5: i64 era
}

// The configuration, from the coordinator to an instance with an older one.
struct Configuration {
  1: i64 version
  // Row of the store.
  2: binary row
}

// A backend server that runs slower than its kind should.
struct SlowServer {
  1: string server
  // Time that its work takes, in percent of what it should take; 100 when it is
  // no longer slow.
  2: i32 pace_percent
}

struct Message {
  1: optional Report report
  2: optional Beat beat
  3: optional ServerList servers
  // Servers that an instance just found unreachable.
  4: optional list<string> lost
  // Servers that just refused a request.
  5: optional list<string> refusing
  6: optional Configuration configuration
  // Another message, compressed (raw deflate).
  7: optional binary packed
  // Servers whose slowdown an instance just read.
  8: optional list<SlowServer> slow
}
