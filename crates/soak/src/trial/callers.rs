//! The callers of a trial: they keep connections, send set-ups, and simulate the faults of callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use mallowring_standin::caller::Caller;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::now;
use mallowring_standin::sleep;

use super::proxies::ProcessState;
use super::{RunningTrial, FIRST_EXCHANGE_NUMBER};
use crate::judge::view::CLOSE_CROSSING_S;
use crate::plan::PlannedCall;

/// Time in seconds after which a connection without calls is closed (PROTOCOL, 'Callers to signalling proxies').
const IDLE_TIMEOUT_S: f64 = 4.0;
/// Time in seconds after SIGTERM in which callers still open new connections (PROTOCOL, 'Figures').
const CONNECT_WINDOW_AFTER_TERM_S: f64 = 0.4;
/// Interval in seconds at which a caller checks for an answer or an expired wait.
const POLL_INTERVAL_S: f64 = 0.005;
/// Bytes of each write, and the pause in seconds after it, of a slow writer.
const SLOW_WRITE: (usize, f64) = (40, 0.01);
/// Share of its waiting time after which a caller that gives up early cancels.
const EARLY_CANCEL_SHARE: f64 = 0.15;

type CallerConnection = Rc<Caller>;

/// The connections of one caller.
#[derive(Default)]
struct CallerSlot {
    current: Option<CallerConnection>,
    /// Connections that the proxy has closed while the caller needed one, so that `current` took their place. They count
    /// as kept by the caller until it closes that one.
    replaced: Vec<CallerConnection>,
}

impl CallerSlot {
    /// Makes a connection the current one.
    fn set_current(&mut self, connection: CallerConnection) {
        self.replaced.extend(self.current.replace(connection));
    }

    fn close(&mut self) {
        let connections = self.current.take().into_iter().chain(self.replaced.drain(..));
        connections.for_each(|connection| connection.close());
    }

    fn is_idle(&self) -> bool {
        self.current.as_ref().is_some_and(|connection| connection.is_idle_for(IDLE_TIMEOUT_S))
    }
}

/// The callers of one proxy.
pub struct CallerPool {
    callers: RefCell<Vec<CallerSlot>>,
    /// Whether the callers give up early and repeat the call.
    pub impatient: Cell<bool>,
    /// Whether the callers write in fragments.
    pub slow: Cell<bool>,
}

impl CallerPool {
    /// Creates a pool of callers without connections.
    pub fn new(callers: usize) -> CallerPool {
        let callers = RefCell::new((0..callers).map(|_| CallerSlot::default()).collect());
        CallerPool { callers, impatient: Cell::new(false), slow: Cell::new(false) }
    }

    /// Closes the connections of all callers.
    pub fn close_all(&self) {
        self.callers.borrow_mut().iter_mut().for_each(CallerSlot::close);
    }

    /// Closes the connections that have been idle for [`IDLE_TIMEOUT_S`].
    pub fn close_idle(&self) {
        self.callers.borrow_mut().iter_mut().filter(|caller| caller.is_idle()).for_each(CallerSlot::close);
    }
}

impl RunningTrial {
    /// Returns the connection of a caller and opens one if it has none. A set-up that is sent again may open one at
    /// any time while the proxy runs.
    async fn connection(&self, proxy: usize, caller: usize, is_resend: bool) -> Option<CallerConnection> {
        let current = self.pools[proxy].callers.borrow()[caller].current.clone();
        if let Some(connection) = current.filter(|connection| connection.closed_at().is_none()) {
            return Some(connection);
        }
        let supervised = &self.proxies[proxy];
        let may_connect = match supervised.process_state() {
            ProcessState::Running => true,
            ProcessState::Terminating(since) => is_resend || now() - since < CONNECT_WINDOW_AFTER_TERM_S,
            ProcessState::NotReady => false,
        };
        if !may_connect {
            return None;
        }
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let name = format!("c{proxy}.{caller}.{number}");
        let connected =
            Caller::connect(&self.executor, &self.record, &name, proxy, supervised.listen()).await;
        let connection = Rc::new(connected.ok()?);
        self.pools[proxy].callers.borrow_mut()[caller].set_current(connection.clone());
        Some(connection)
    }

    /// Plays one call, and repeats it once if it got no answer and the callers are impatient.
    pub(super) async fn play_call(&self, planned: PlannedCall) {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let call = format!("{:02x}{:014x}", planned.proxy, number);
        let answered = self.request_call(&planned, &call).await;
        if !answered && self.pools[planned.proxy].impatient.get() {
            let number = self.next_id.get();
            self.next_id.set(number + 1);
            self.request_call(&planned, &format!("{:02x}{:014x}", planned.proxy, number)).await;
        }
    }

    /// Sends a set-up and waits; returns whether there was a final answer.
    async fn request_call(&self, planned: &PlannedCall, call: &str) -> bool {
        let script = CallScript { answer_ms: planned.answer_ms, hold_ms: planned.hold_ms };
        let set_up = SetUp {
            call_id: call.to_owned(),
            number: script.called_number(),
            deadline_ms: planned.deadline_ms,
            destination: FIRST_EXCHANGE_NUMBER + planned.exchange as i64,
        };
        let mut resent = false;
        loop {
            let Some(connection) = self.connection(planned.proxy, planned.caller, resent).await else {
                return false;
            };
            if !self.send_set_up(&connection, planned.proxy, &set_up).await {
                return false;
            }
            match self.wait_for_answer(&connection, planned, call).await {
                WaitResult::Answered => {
                    self.hang_up(planned, call).await;
                    return true;
                }
                // The set-up crossed the close of its connection: it is sent again, once.
                WaitResult::CrossedClose if !resent => resent = true,
                WaitResult::CrossedClose | WaitResult::Ended => return false,
            }
        }
    }

    async fn send_set_up(&self, connection: &CallerConnection, proxy: usize, set_up: &SetUp) -> bool {
        let (piece, pause) = if self.pools[proxy].slow.get() { SLOW_WRITE } else { (usize::MAX, 0.0) };
        connection.send_set_up_in_pieces(set_up, piece, pause).await.is_ok()
    }

    async fn wait_for_answer(
        &self,
        connection: &CallerConnection,
        planned: &PlannedCall,
        call: &str,
    ) -> WaitResult {
        let deadline_s = planned.deadline_ms as f64 / 1000.0;
        let sent_at = now();
        let gives_up_early = self.pools[planned.proxy].impatient.get();
        loop {
            sleep(POLL_INTERVAL_S).await;
            let Some(since) = connection.pending_since(call) else { return WaitResult::Answered };
            if let Some(closed_at) = connection.closed_at() {
                return if closed_at - since <= CLOSE_CROSSING_S {
                    WaitResult::CrossedClose
                } else {
                    WaitResult::Ended
                };
            }
            // An answer counts until half a second after the deadline, so the caller waits a little longer than that.
            let wait_limit_s =
                if gives_up_early { deadline_s * EARLY_CANCEL_SHARE } else { deadline_s + 0.6 };
            if now() - sent_at >= wait_limit_s {
                let _ = connection.cancel_set_up(call).await;
                return WaitResult::Ended;
            }
        }
    }

    async fn hang_up(&self, planned: &PlannedCall, call: &str) {
        let Some(ms) = planned.hang_up_ms else { return };
        sleep(ms as f64 / 1000.0).await;
        if self.finished.get() {
            return;
        }
        let established_at = self.record.first_seen(call, |observation| {
            matches!(observation, mallowring_standin::record::Observation::Answered { status: 200, .. })
        });
        let released_at = self.record.first_seen(call, |observation| {
            matches!(observation, mallowring_standin::record::Observation::ReleaseReceived(_))
        });
        if established_at.is_none() || released_at.is_some() {
            return;
        }
        // A release may go on any connection of the caller.
        if let Some(connection) = self.connection(planned.proxy, planned.caller, false).await {
            let _ = connection.hang_up(call).await;
        }
    }
}

/// Result of waiting for an answer.
enum WaitResult {
    Answered,
    /// The proxy closed the connection while the set-up was on its way.
    CrossedClose,
    Ended,
}
