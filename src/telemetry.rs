//! Counters and gauges of the proxy, on the `metrics` crate: a registry, its text form (Prometheus exposition format,
//! version 0.0.4), and one function for each counted event.

use std::fmt::Write as _;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Label, Metadata, Recorder, SharedString, Unit};
use metrics_util::registry::{AtomicStorage, Registry};

/// Calls released because the liveness lease of their exchange expired.
const CALLS_EXPIRED: &str = "mallowring_exchange_calls_expired_total";
/// Expired liveness leases of exchanges.
const LEASES_EXPIRED: &str = "mallowring_exchange_leases_expired_total";
/// Connections opened to check whether a silent exchange is alive.
const VERIFICATIONS: &str = "mallowring_exchange_verifications_total";
/// Lost connections to exchanges.
const EXCHANGE_CONNECTIONS_LOST: &str = "mallowring_exchange_connections_lost_total";
/// Lost connections to discovery.
const DISCOVERY_CONNECTIONS_LOST: &str = "mallowring_discovery_connections_lost_total";
/// Caller connections closed by the proxy, by reason.
const CALLER_CONNECTIONS_CLOSED: &str = "mallowring_caller_connections_closed_total";
/// Final answers sent to callers, by answer.
const ANSWERS: &str = "mallowring_answers_total";
/// Refused requests, by reason.
const REFUSALS: &str = "mallowring_refusals_total";
/// Attempts that ended without success, by outcome and by what proves their end.
const ATTEMPTS_ENDED: &str = "mallowring_attempts_ended_total";
/// Attempts that were not the first of their call.
const FURTHER_ATTEMPTS: &str = "mallowring_further_attempts_total";
/// Answers that arrived after their set-up was cancelled.
const ANSWERS_AFTER_CANCEL: &str = "mallowring_answers_after_cancel_total";

/// Failed attempts to connect to an exchange, by reason.
const EXCHANGE_CONNECTS_FAILED: &str = "mallowring_exchange_connects_failed_total";
/// Connections to an exchange that received nothing while its other connections did.
const EXCHANGE_CONNECTIONS_SILENT: &str = "mallowring_exchange_silent_connections_total";
/// Connections to one exchange requested back so that another exchange can use their descriptors.
const EXCHANGE_CONNECTIONS_RECLAIMED: &str = "mallowring_exchange_connections_given_up_total";
/// Connections to exchanges denied by the descriptor budget.
const EXCHANGE_CONNECTIONS_DENIED: &str = "mallowring_exchange_connections_denied_total";
/// Connections cut because their send queues exceeded a limit, by limit.
const QUEUE_LIMITS_EXCEEDED: &str = "mallowring_queues_cut_total";
/// Releases dropped at the limit while they waited for a caller's connection.
const RELEASES_DROPPED: &str = "mallowring_releases_dropped_total";
/// Failures to accept a connection.
const ACCEPTS_FAILED: &str = "mallowring_accepts_failed_total";
/// Datagrams dropped because too many were waiting to be sent.
const DATAGRAMS_DROPPED: &str = "mallowring_datagrams_dropped_total";
/// Received datagrams dropped because too many were waiting to be handled.
const RECEIVED_DATAGRAMS_DROPPED: &str = "mallowring_received_datagrams_dropped_total";
/// File descriptors in use, by part.
const DESCRIPTORS: &str = "mallowring_descriptors";
/// Bytes of memory in use, by part.
const MEMORY_BYTES: &str = "mallowring_bytes";

/// A recorder that keeps counters and gauges in atomics and ignores histograms.
#[derive(Clone)]
struct AtomicRecorder(Arc<Registry<Key, AtomicStorage>>);

impl Recorder for AtomicRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.0.get_or_create_counter(key, |counter| Counter::from_arc(counter.clone()))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.0.get_or_create_gauge(key, |gauge| Gauge::from_arc(gauge.clone()))
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

static RECORDER: OnceLock<AtomicRecorder> = OnceLock::new();

/// Installs the recorder. Before this call, and in programs that never make it, events are not counted.
pub fn install() {
    let recorder = RECORDER.get_or_init(|| AtomicRecorder(Arc::new(Registry::atomic())));
    if metrics::set_global_recorder(recorder.clone()).is_err() {
        tracing::debug!("metrics are counted already");
    }
}

/// Appends one metric in the exposition format.
fn write_metric(text: &mut String, key: &Key, value: impl std::fmt::Display) {
    let labels: Vec<String> =
        key.labels().map(|label: &Label| format!("{}=\"{}\"", label.key(), label.value())).collect();
    let labels = if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) };
    // Writing to a string can't fail.
    let _ = writeln!(text, "{}{labels} {value}", key.name());
}

/// Renders all metrics, one per line: first the counters, then the gauges, each sorted by name.
pub fn render() -> String {
    let Some(AtomicRecorder(registry)) = RECORDER.get() else { return String::new() };
    let mut counters: Vec<_> = registry.get_counter_handles().into_iter().collect();
    counters.sort_by(|(a, _), (b, _)| a.cmp(b));
    let mut gauges: Vec<_> = registry.get_gauge_handles().into_iter().collect();
    gauges.sort_by(|(a, _), (b, _)| a.cmp(b));
    let mut text = String::new();
    for (key, value) in &counters {
        write_metric(&mut text, key, value.load(Ordering::Relaxed));
    }
    for (key, value) in &gauges {
        write_metric(&mut text, key, f64::from_bits(value.load(Ordering::Relaxed)));
    }
    text
}

/// Renders all metrics on one line for the log.
pub fn summary() -> String {
    render().trim_end().replace('\n', "; ").replace("mallowring_", "")
}

/// Counts an expired liveness lease of an exchange, and the calls that were released with it.
pub fn exchange_lease_expired(calls: usize) {
    metrics::counter!(LEASES_EXPIRED).increment(1);
    metrics::counter!(CALLS_EXPIRED).increment(calls as u64);
}

/// Counts a connection opened to check whether a silent exchange is alive.
pub fn exchange_verification_started() {
    metrics::counter!(VERIFICATIONS).increment(1);
}

/// Counts a lost connection to an exchange.
pub fn exchange_connection_lost() {
    metrics::counter!(EXCHANGE_CONNECTIONS_LOST).increment(1);
}

/// Counts a lost connection to discovery.
pub fn discovery_connection_lost() {
    metrics::counter!(DISCOVERY_CONNECTIONS_LOST).increment(1);
}

/// Counts a caller connection closed by the proxy.
pub fn caller_connection_closed(reason: &'static str) {
    metrics::counter!(CALLER_CONNECTIONS_CLOSED, "reason" => reason).increment(1);
}

/// Counts a final answer to a caller.
pub fn final_answer_sent(answer: &'static str) {
    metrics::counter!(ANSWERS, "answer" => answer).increment(1);
}

/// Counts a refused request.
pub fn request_refused(reason: &'static str) {
    metrics::counter!(REFUSALS, "reason" => reason).increment(1);
}

/// Counts an attempt that ended without success.
pub fn attempt_ended(outcome: &'static str, evidence: &'static str) {
    metrics::counter!(ATTEMPTS_ENDED, "outcome" => outcome, "evidence" => evidence).increment(1);
}

/// Counts an attempt that is not the first of its call.
pub fn call_attempted_again() {
    metrics::counter!(FURTHER_ATTEMPTS).increment(1);
}

/// Counts an answer that arrived after its set-up had ended without confirmation.
pub fn answered_after_end() {
    metrics::counter!(ANSWERS_AFTER_CANCEL).increment(1);
}

/// Counts a failed attempt to connect to an exchange.
pub fn exchange_connect_failed(error: &std::io::Error) {
    let reason = match error.kind() {
        std::io::ErrorKind::ConnectionRefused => "refused",
        std::io::ErrorKind::TimedOut => "timed out",
        _ => "other",
    };
    metrics::counter!(EXCHANGE_CONNECTS_FAILED, "reason" => reason).increment(1);
}

/// Counts a connection to an exchange that received nothing while the exchange's other connections did.
pub fn exchange_connection_silent() {
    metrics::counter!(EXCHANGE_CONNECTIONS_SILENT).increment(1);
}

/// Counts a connection that is requested back from one exchange for another.
pub fn exchange_connection_reclaimed() {
    metrics::counter!(EXCHANGE_CONNECTIONS_RECLAIMED).increment(1);
}

/// Counts a connection to an exchange denied by the descriptor budget.
pub fn exchange_connection_denied() {
    metrics::counter!(EXCHANGE_CONNECTIONS_DENIED).increment(1);
}

/// Counts a connection cut because its send queue, or all queues together, exceeded a limit.
pub fn queue_limit_exceeded(limit: &'static str) {
    metrics::counter!(QUEUE_LIMITS_EXCEEDED, "bound" => limit).increment(1);
}

/// Counts releases dropped while they waited for a caller's connection.
pub fn releases_dropped(releases: usize) {
    metrics::counter!(RELEASES_DROPPED).increment(releases as u64);
}

/// Counts a failure to accept a connection.
pub fn accept_failed() {
    metrics::counter!(ACCEPTS_FAILED).increment(1);
}

/// Counts a dropped datagram.
pub fn datagram_dropped() {
    metrics::counter!(DATAGRAMS_DROPPED).increment(1);
}

/// Counts received datagrams that were dropped because too many of their sender, or in all, waited to be handled.
pub fn received_datagrams_dropped(datagrams: usize) {
    if datagrams > 0 {
        metrics::counter!(RECEIVED_DATAGRAMS_DROPPED).increment(datagrams as u64);
    }
}

/// Sets the gauges of descriptors in use, by callers and exchanges, and of bytes in send queues and waiting releases.
pub fn set_resource_usage(callers: usize, exchanges: usize, queued_bytes: usize, release_bytes: usize) {
    metrics::gauge!(DESCRIPTORS, "part" => "callers").set(callers as f64);
    metrics::gauge!(DESCRIPTORS, "part" => "exchanges").set(exchanges as f64);
    metrics::gauge!(MEMORY_BYTES, "part" => "queues").set(queued_bytes as f64);
    metrics::gauge!(MEMORY_BYTES, "part" => "waiting releases").set(release_bytes as f64);
}

/// Sets the gauge of bytes in use by call records.
pub fn set_call_record_bytes(bytes: usize) {
    metrics::gauge!(MEMORY_BYTES, "part" => "calls").set(bytes as f64);
}
