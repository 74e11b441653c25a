// Messages between daemons, in the Thrift compact protocol, one structure per frame.
// Ages and lifetimes are sent in milliseconds, also in fields whose names end in _s;
// 2147483647 stands for infinity.

struct Challenge { 1: binary nonce }

struct Hello {
  1: i32 protocol_version
  2: string daemon
  3: i64 incarnation
  4: binary nonce
  5: binary proof
}

struct Welcome { 1: binary proof }

struct Event {
  1: string event_id
  2: string kind
  3: string upstream_id
  4: i64 incarnation
  5: string failure_domain
  6: list<string> fingerprints
  7: i32 age_s
  8: i64 config_version
}

struct Member {
  1: string daemon_id
  2: i64 incarnation
  3: optional string host
  4: optional i32 port
  5: optional string failure_domain
  6: optional bool draining
  7: i32 heartbeat_age_s
  8: i32 evidence_age_s
  9: i64 highest_version
}

struct Report {
  1: string upstream_id
  2: i64 incarnation
  3: i32 state
  4: i32 running
  5: i32 queued
  6: i32 slots
  7: i32 bears
  8: i32 as_of_s
}

struct Gossip {
  1: string sender
  2: i64 config_version
  3: i32 evidence_age_s
  4: list<Event> events
  5: list<Member> members
  6: list<Report> reports
}

struct Action {
  1: string organisation
  2: string key
  3: string body_digest
  4: string dispatcher
  5: i64 dispatcher_incarnation
  6: string attempt
  7: string state
  8: double started_at_s
  9: string answer
}

struct Permit {
  1: string upstream_id
  2: string permit_id
  3: string gatekeeper
  4: i32 lifetime_s
}

struct Demand {
  1: string organisation
  2: double requests
  3: double tokens
  4: i32 running
  5: optional i32 granted
}

struct Grant {
  1: string organisation
  2: double requests
  3: double tokens
  4: i32 concurrent
  5: i32 lifetime_s
}

struct Failure {
  1: string verdict
  2: string reason
  3: string detail
  4: optional double retry_after_s
}

struct EventField {
  1: string name
  2: string value
}

struct RequestEvent {
  1: double time_s
  2: string level
  3: string name
  4: list<EventField> fields
}

struct RequestEvents { 1: list<RequestEvent> events }

struct Request {
  1: i64 call_id
  2: optional Gossip gossip
  3: optional bool fetch_config
  4: optional Action reserve
  5: optional Action finish
  6: optional string acquire_permit
  7: optional Permit return_permit
  8: optional Demand request_grant
  9: optional Event push_event
  10: optional string fetch_events
}

struct Answer {
  1: i64 call_id
  2: optional Failure failure
  3: optional Gossip gossip
  4: optional binary configuration
  5: optional Action granted
  6: optional Action existing
  7: optional bool recorded
  8: optional Permit permit
  9: optional Grant grant
  10: optional RequestEvents events
}

// Calls of stage services that the batching daemon makes for other daemons. Times are
// relative to the arrival of the frame.

struct StageJob {
  1: i64 job_id
  2: string stage_service
  3: string attempt_id
  4: i32 stage
  5: i32 pieces
  6: string key
  7: bool reads_inputs
  8: list<string> inputs
  9: i32 due_ms
  10: i32 deadline_ms
  11: i32 tail_ms
  12: i32 rank
  13: string organisation
  14: bool first
  15: i32 result_bytes
  16: optional string domain
}

struct StageResult {
  1: i64 job_id
  2: list<string> handles
  3: string problem
  4: i32 retry_after_ms
  5: i32 on_time_wait_ms
  6: i32 late_wait_ms
}

// Memory that one daemon reserves for the results of stages, for all others.

struct RoomNeed {
  1: string stage_service
  2: i64 size_bytes
}

struct RoomRequest {
  1: i64 room_id
  2: string attempt_id
  3: list<RoomNeed> needs
  4: i32 due_ms
  5: i32 deadline_ms
  6: i32 work_ms
  7: i32 rank
  8: string organisation
}

struct RoomDecision {
  1: i64 room_id
  2: bool granted
  3: i32 retry_after_ms
}

// Stages of a reservation that are released; all if there are none.
struct RoomRelease {
  1: i64 room_id
  2: list<i32> stages
}

struct RoomFrame {
  1: optional RoomRequest request
  2: optional RoomDecision decision
  3: optional RoomRelease released
}

// Evidence on a rollout, from a daemon to the coordinator of the service, and the answer.
// Counts are cumulative for a process; entries are left out while they do not change.

struct RolloutEntry {
  1: bool newer
  2: string route
  3: i32 size_class
  4: bool total
  5: i64 answers
  6: i64 failures
  // Pairs of a latency bucket and its count.
  7: list<i64> buckets
}

struct RolloutReport {
  1: string rolled_service
  2: string daemon
  3: i64 incarnation
  4: i64 order_revision
  5: i64 sent_old
  6: i64 sent_new
  7: i64 open_old
  8: string state
  9: i64 sequence
  10: double share
  11: bool full
  12: list<RolloutEntry> entries
  13: i64 left_ms
}

struct RolloutDirective {
  1: string rolled_service
  2: i64 order_revision
  3: string state
  4: i64 sequence
  5: double share
  6: bool resend
}

// Frame between a daemon and the batching daemon of a service, or the coordinator of a
// rollout. A frame without fields is a keepalive frame.
struct StageFrame {
  1: optional StageJob job
  2: optional StageResult result
  3: optional i64 cancelled_job_id
  4: list<string> released
  20: optional RoomFrame room
  21: optional RolloutReport rollout_report
  22: optional RolloutDirective rollout_directive
}
