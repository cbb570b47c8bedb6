//! The callers of a trial: they keep connections, ask for calls, and behave badly where a fault says so.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use mallowring_standin::caller::Caller;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::now;
use mallowring_standin::sleep;

use super::proxies::Life;
use super::{Stage, FIRST_NUMBER};
use crate::judge::view::CLOSE_CROSSING_S;
use crate::plan::PlannedCall;

/// A connection that has had no call on it for so long is closed (PROTOCOL, 'Callers to signalling proxies').
const IDLE: f64 = 4.0;
/// New connections keep coming for so long after SIGTERM (PROTOCOL, 'Figures').
const CONNECT_AFTER_TERM: f64 = 0.4;
/// A caller notices an answer, or that it waits in vain, within so long.
const LOOK: f64 = 0.005;
/// Bytes of a piece, and the pause after it, of a slow writer.
const PIECE: (usize, f64) = (40, 0.01);
/// A caller that gives up early waits for this share of its time.
const EARLY: f64 = 0.15;

type Line = Rc<Caller>;

/// The callers of one proxy.
pub struct Pool {
    lines: RefCell<Vec<Option<Line>>>,
    /// They give up early and ask again.
    pub impatient: Cell<bool>,
    /// They write in pieces.
    pub slow: Cell<bool>,
}

impl Pool {
    /// So many callers, none of them connected.
    pub fn new(callers: usize) -> Pool {
        let lines = RefCell::new((0..callers).map(|_| None).collect());
        Pool { lines, impatient: Cell::new(false), slow: Cell::new(false) }
    }

    /// All of them close their connections.
    pub fn close_all(&self) {
        self.lines.borrow_mut().iter_mut().filter_map(Option::take).for_each(|line| line.close());
    }

    /// Those that have had no call for long close theirs.
    pub fn close_idle(&self) {
        for held in self.lines.borrow_mut().iter_mut() {
            if let Some(line) = held.take_if(|line| line.is_idle_for(IDLE)) {
                line.close();
            }
        }
    }
}

impl Stage {
    /// The connection of a caller: the one it has, else a new one. What is sent `again` may connect whenever it can.
    async fn line(&self, proxy: usize, caller: usize, again: bool) -> Option<Line> {
        let held = self.pools[proxy].lines.borrow()[caller].clone();
        if let Some(line) = held.filter(|line| line.closed_at().is_none()) {
            return Some(line);
        }
        let slot = &self.proxies[proxy];
        let may_connect = match slot.life() {
            Life::Running => true,
            Life::Ending(since) => again || now() - since < CONNECT_AFTER_TERM,
            Life::Away => false,
        };
        if !may_connect {
            return None;
        }
        let number = self.next_name.get();
        self.next_name.set(number + 1);
        let name = format!("c{proxy}.{caller}.{number}");
        let connected = Caller::connect(&self.tasks, &self.record, &name, proxy, slot.listen()).await;
        let line = Rc::new(connected.ok()?);
        self.pools[proxy].lines.borrow_mut()[caller] = Some(line.clone());
        Some(line)
    }

    /// One call, and its caller's second try where callers are impatient.
    pub(super) async fn play_call(&self, planned: PlannedCall) {
        let number = self.next_name.get();
        self.next_name.set(number + 1);
        let call = format!("{:02x}{:014x}", planned.proxy, number);
        let answered = self.ask(&planned, &call).await;
        if !answered && self.pools[planned.proxy].impatient.get() {
            let number = self.next_name.get();
            self.next_name.set(number + 1);
            self.ask(&planned, &format!("{:02x}{:014x}", planned.proxy, number)).await;
        }
    }

    /// Asks for a call and waits; returns whether there was a final answer.
    async fn ask(&self, planned: &PlannedCall, call: &str) -> bool {
        let script = CallScript { answer_ms: planned.answer_ms, hold_ms: planned.hold_ms };
        let set_up = SetUp {
            call_id: call.to_owned(),
            number: script.called_number(),
            deadline_ms: planned.deadline_ms,
            destination: FIRST_NUMBER + planned.exchange as i64,
        };
        let mut crossed = false;
        loop {
            let Some(line) = self.line(planned.proxy, planned.caller, crossed).await else { return false };
            if !self.write(&line, planned.proxy, &set_up).await {
                return false;
            }
            match self.wait(&line, planned, call).await {
                End::Answered => {
                    self.hang_up(planned, call).await;
                    return true;
                }
                // It crossed the close of its connection: it is sent again, once.
                End::Crossed if !crossed => crossed = true,
                End::Crossed | End::Over => return false,
            }
        }
    }

    async fn write(&self, line: &Line, proxy: usize, set_up: &SetUp) -> bool {
        let (piece, pause) = if self.pools[proxy].slow.get() { PIECE } else { (usize::MAX, 0.0) };
        line.send_set_up_in_pieces(set_up, piece, pause).await.is_ok()
    }

    async fn wait(&self, line: &Line, planned: &PlannedCall, call: &str) -> End {
        let patience = planned.deadline_ms as f64 / 1000.0;
        let asked = now();
        let early = self.pools[planned.proxy].impatient.get();
        loop {
            sleep(LOOK).await;
            let Some(since) = line.pending_since(call) else { return End::Answered };
            if let Some(over) = line.closed_at() {
                return if over - since <= CLOSE_CROSSING_S { End::Crossed } else { End::Over };
            }
            // The half second for which an answer still counts is waited for.
            let waits = if early { patience * EARLY } else { patience + 0.6 };
            if now() - asked >= waits {
                let _ = line.cancel_set_up(call).await;
                return End::Over;
            }
        }
    }

    async fn hang_up(&self, planned: &PlannedCall, call: &str) {
        let Some(ms) = planned.hang_up_ms else { return };
        sleep(ms as f64 / 1000.0).await;
        if self.over.get() {
            return;
        }
        let standing = self.record.first_seen(call, |observation| {
            matches!(observation, mallowring_standin::record::Observation::Answered { status: 200, .. })
        });
        let released = self.record.first_seen(call, |observation| {
            matches!(observation, mallowring_standin::record::Observation::ReleaseHeard(_))
        });
        if standing.is_none() || released.is_some() {
            return;
        }
        // On whatever connection there is.
        if let Some(line) = self.line(planned.proxy, planned.caller, false).await {
            let _ = line.hang_up(call).await;
        }
    }
}

/// How a wait for an answer ended.
enum End {
    Answered,
    /// The proxy closed the connection while the set-up was on its way.
    Crossed,
    Over,
}
