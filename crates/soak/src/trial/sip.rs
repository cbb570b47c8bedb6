//! The calls of a trial over the SIP fronts of its proxies, and the clients that flood these.

use std::io;

use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::{now, Record};
use mallowring_standin::sip::caller::SipCallers;
use mallowring_standin::sip::exchange::SipExchange;
use mallowring_standin::sip::flood::Flood;
use mallowring_standin::{sleep, Executor};
use smol::net::TcpStream;

use super::proxies::{ProcessState, SupervisedProxy};
use super::{RunningTrial, FIRST_EXCHANGE_NUMBER};
use crate::plan::{PlannedCall, PlannedFault};

/// Time in seconds after SIGTERM in which callers still open new connections (PROTOCOL, 'Figures').
const CONNECT_WINDOW_AFTER_TERM_S: f64 = 0.4;
/// Interval in seconds at which a caller checks for an answer or an expired wait.
const POLL_INTERVAL_S: f64 = 0.005;
/// Time in seconds after the deadline that a caller still waits for the answer.
const LATE_ANSWER_WAIT_S: f64 = 0.6;
/// Number of clients of one flood.
const FLOODING_CLIENTS: usize = 2;
/// Number of connections of a crowd, and the time in seconds that they stay open.
const CROWD_CONNECTIONS: usize = 150;
const CROWD_HOLD_S: f64 = 3.0;

/// The SIP exchanges and callers of a trial, by proxy; empty if its proxies have no SIP front.
#[derive(Default)]
pub struct SipSide {
    callers: Vec<SipCallers>,
}

impl SipSide {
    /// Starts the exchange of one proxy.
    pub fn start_exchange(executor: &Executor, record: &Record, proxy: usize) -> io::Result<SipExchange> {
        SipExchange::start(executor, record, &format!("x{proxy}"), proxy)
    }

    /// Starts the callers of all proxies.
    pub fn start_callers(
        executor: &Executor,
        record: &Record,
        proxies: &[SupervisedProxy],
    ) -> io::Result<SipSide> {
        let proxies = proxies.iter().enumerate();
        let start = |(proxy, supervised): (usize, &SupervisedProxy)| {
            SipCallers::start(executor, record, &format!("sip{proxy}"), proxy, supervised.sip_listen())
        };
        Ok(SipSide { callers: proxies.map(start).collect::<io::Result<_>>()? })
    }
}

impl RunningTrial {
    /// Plays one call over a SIP front.
    pub(super) async fn play_sip_call(&self, planned: PlannedCall) {
        let Some(callers) = self.sip.callers.get(planned.proxy) else { return };
        let may_connect = match self.proxies[planned.proxy].process_state() {
            ProcessState::Running => true,
            ProcessState::Terminating(since) => {
                callers.is_connected() || now() - since < CONNECT_WINDOW_AFTER_TERM_S
            }
            ProcessState::NotReady => false,
        };
        if !may_connect || callers.connect().await.is_err() {
            return;
        }
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let call = format!("{:02x}{:014x}", 0xa0 + planned.proxy, number);
        let script = CallScript { answer_ms: planned.answer_ms, hold_ms: planned.hold_ms };
        let set_up = SetUp {
            call_id: call.clone(),
            number: script.called_number(),
            deadline_ms: planned.deadline_ms,
            destination: FIRST_EXCHANGE_NUMBER,
        };
        if callers.send_set_up(&set_up).await.is_err() {
            return;
        }
        let give_up_at = now() + planned.deadline_ms as f64 / 1000.0 + LATE_ANSWER_WAIT_S;
        while callers.pending_since(&call).is_some() {
            sleep(POLL_INTERVAL_S).await;
            if now() >= give_up_at {
                // Without a connection nobody can be told.
                let _ = callers.cancel_set_up(&call).await;
            }
        }
    }

    /// Floods a front of one proxy.
    pub(super) fn flood(&self, flood: Flood, fault: &PlannedFault) {
        let supervised = &self.proxies[fault.target];
        let platform = flood == Flood::PlatformSetUps;
        let addr = if platform { supervised.listen() } else { supervised.sip_listen() };
        (0..FLOODING_CLIENTS).for_each(|_| flood.start(addr, fault.duration_s));
    }

    /// Opens many connections to the SIP front that never send anything.
    pub(super) fn open_sip_crowd(&self, proxy: usize) {
        let listen = self.proxies[proxy].sip_listen();
        for _ in 0..CROWD_CONNECTIONS {
            let connection = async move {
                let Ok(stream) = TcpStream::connect(listen).await else { return };
                sleep(CROWD_HOLD_S).await;
                drop(stream);
            };
            self.executor.spawn(connection).detach();
        }
    }
}
