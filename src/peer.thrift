// Messages between entry instances. Times are microseconds unless named
// otherwise; lineages and epochs are described in docs/design.md.
namespace cpp trefoilwick.peer

struct Submission {
  1: string request;
  2: i64 lineage;
  3: string chain;
  4: string account;
  5: string kind;
  6: i32 rank;
  7: string prompt;
  8: i32 max_tokens;
  9: i64 seed;
  10: list<string> tokens;
  11: string entry;
  12: i64 entry_incarnation;
  13: bool isolated;
  14: i64 fingerprint;
  15: i64 first_token_us;
  16: i64 between_tokens_us;
}

struct SubmitReply {
  1: bool accepted;
  2: string reason;
  3: i64 retry_after_ms;
  4: i64 expected_wait_us;
  5: i64 scheduler_incarnation;
}

enum UpdateState { RUNNING = 0, FINISHED = 1, FAILED = 2, QUARANTINED = 3 }

struct TokenUpdate {
  1: string request;
  2: i64 lineage;
  3: i32 index;
  4: list<string> tokens;
  5: UpdateState state;
  6: string reason;
  // Lineage that this one replaces; 0 when it replaces none.
  7: i64 replaces;
  // On failure: the request may have crashed a server.
  8: bool suspect;
}

struct ChainLoad {
  1: string chain;
  2: i64 expected_wait_us;
  3: i32 queued;
  4: i32 running;
}

struct DeliverMessage {
  1: string scheduler;
  2: i64 scheduler_incarnation;
  3: list<TokenUpdate> updates;
  4: list<ChainLoad> loads;
}

struct Gossip {
  1: string sender;
  2: binary payload;
}

struct TableChanges {
  1: i64 head;
  2: list<binary> changes;
  3: binary snapshot;
}

struct OutcomeReply {
  1: bool known;
  2: i64 incarnation;
  3: string outcome;
  4: string detail;
}

struct AccountDemand {
  1: string account;
  2: double tokens_per_second;
}

struct UsageSum {
  1: string account;
  2: double others;
  3: bool settled;
}

service Peer {
  SubmitReply submit(1: Submission submission);
  // Returns the requests that this entry no longer owns.
  list<string> deliver(1: DeliverMessage message);
  void cancel(1: list<string> requests);
  // Returns the requests that are neither queued nor running here.
  list<string> missing(1: list<string> requests);
  Gossip probe(1: Gossip message);
  Gossip probe_via(1: string target, 2: Gossip message);
  // A request with this content crashed a server while it ran alone.
  void quarantine(1: i64 fingerprint, 2: i64 expires_unix_ms);
  TableChanges changes(1: i64 after);
  // Demand report of an instance; returns the usage sums of the other
  // instances.
  list<UsageSum> usage(1: string instance, 2: list<AccountDemand> report);
  OutcomeReply outcome(1: string request);
}
