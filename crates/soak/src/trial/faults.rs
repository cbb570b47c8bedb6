//! Plays the faults of a plan.

use std::rc::Rc;
use std::time::Duration;

use mallowring_standin::discovery::Lifecycle;
use mallowring_standin::exchange::{Exchange, Misbehaviour};
use mallowring_standin::record::Observation;
use mallowring_standin::relay::Link;
use mallowring_standin::sip::flood::Flood;
use mallowring_standin::sleep;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::{unix_ms, RunningTrial};
use crate::coverage::CallState;
use crate::fault::FaultKind;
use crate::plan::PlannedFault;

/// Number of connections of a crowd.
const CROWD_CONNECTIONS: usize = 150;
/// Time in seconds that each connection of a crowd stays open.
const CROWD_HOLD_S: f64 = 3.0;
/// Longest time in seconds that an exchange reads late.
const LONGEST_READ_DELAY_S: f64 = 0.6;
/// Longest delay in seconds of a slow network, in each direction.
const LONGEST_NETWORK_DELAY_S: f64 = 0.4;
/// Longest time in seconds after which a system in front of an exchange answers for it.
const LONGEST_FRONT_TIMEOUT_S: f64 = 0.5;
/// Time in milliseconds before now of a start that discovery gives for an exchange that started long ago.
const EARLIER_START_MS: u64 = 20_000;
/// Time in milliseconds before now of a start that discovery gives although there was none.
const WRONG_START_MS: u64 = 300;
/// Time in seconds within which a listener is closed.
const CLOSE_LISTENER_S: f64 = 0.01;
/// Delay in seconds until discovery publishes a process that has replaced another.
const ROSTER_DELAY_S: f64 = 1.5;

impl RunningTrial {
    pub(super) async fn play_fault(self: Rc<Self>, fault: PlannedFault) {
        self.record_coverage(&fault);
        let until = self.load_started_at.get() + fault.at + fault.duration_s;
        self.coverage.borrow_mut().record_start(fault.kind, until);
        match fault.kind {
            FaultKind::Vanish
            | FaultKind::CutOff
            | FaultKind::Hang
            | FaultKind::Die
            | FaultKind::RestartAtOnce
            | FaultKind::ReplaceAtAddress
            | FaultKind::Drain
            | FaultKind::StartTimes
            | FaultKind::ListedGone
            | FaultKind::RefuseConnects
            | FaultKind::StallExchange => self.change_exchange(&fault).await,
            FaultKind::StallTrial => {
                self.record.add("trial", 0, "", Observation::StallPlanned(fault.duration_s));
                // Blocks the thread of all stand-ins.
                std::thread::sleep(Duration::from_secs_f64(fault.duration_s));
            }
            FaultKind::AnswersLate
            | FaultKind::AnswersTwice
            | FaultKind::AnswersSpoilt
            | FaultKind::ReadsLate
            | FaultKind::Pieces
            | FaultKind::AcceptsLate
            | FaultKind::ReleasesElsewhere
            | FaultKind::FrontTimeouts
            | FaultKind::ErrorAnswers => self.misbehave(&fault).await,
            FaultKind::CutToExchange | FaultKind::CutFromExchange | FaultKind::SlowNetwork => {
                self.disturb_links(&fault).await
            }
            FaultKind::Stop => self.proxies[fault.target].stop_for(fault.duration_s).await,
            FaultKind::Reset | FaultKind::Close | FaultKind::SilentConnection => {
                self.disturb_connections(&fault)
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => self.stop_discovery(&fault).await,
            FaultKind::DiscoveryMoves => self.move_discovery().await,
            FaultKind::Terminate | FaultKind::TerminateOnly => {
                let (supervised, discovery) = (&self.proxies[fault.target], &self.discoveries[fault.target]);
                let kill_after = (fault.kind == FaultKind::Terminate).then_some(self.plan.kill_after());
                supervised.terminate(kill_after, discovery).await;
            }
            FaultKind::Kill => self.proxies[fault.target].kill(&self.discoveries[fault.target]).await,
            FaultKind::GiveUpEarly => {
                self.pools[fault.target].impatient.set(true);
                sleep(fault.duration_s).await;
                self.pools[fault.target].impatient.set(false);
            }
            FaultKind::SlowWriters => {
                self.pools[fault.target].slow.set(true);
                sleep(fault.duration_s).await;
                self.pools[fault.target].slow.set(false);
            }
            FaultKind::CallersReturn => self.pools[fault.target].close_all(),
            FaultKind::BadCallers => self.send_malformed_requests(fault.target).await,
            FaultKind::Crowd => self.open_crowd(fault.target),
            FaultKind::Flood => self.flood(Flood::PlatformSetUps, &fault),
            FaultKind::SipFlood => self.flood(Flood::SipSetUps, &fault),
            FaultKind::SipOptionsFlood => self.flood(Flood::SipOptions, &fault),
            FaultKind::SipCrowd => self.open_sip_crowd(fault.target),
        }
    }

    /// Records the call states that a fault occurs in.
    fn record_coverage(&self, fault: &PlannedFault) {
        let exchanges = self.exchanges.borrow();
        let affected: Vec<&Exchange> = match fault.kind.target() {
            crate::fault::Target::Exchange => vec![&exchanges[fault.target]],
            _ => exchanges.iter().collect(),
        };
        let pending = affected.iter().any(|e| e.pending_set_ups() > 0);
        let established = affected.iter().any(|e| e.established_calls() > 0);
        let releasing = affected.iter().any(|e| e.released_within(0.2));
        let mut coverage = self.coverage.borrow_mut();
        let states = [
            (pending, CallState::SetUpPending),
            (established, CallState::Established),
            (releasing, CallState::InRelease),
        ];
        states
            .into_iter()
            .filter(|(is, _)| *is)
            .for_each(|(_, state)| coverage.record_state(fault.kind, state));
        if !pending && !established {
            coverage.record_state(fault.kind, CallState::NoCall);
        }
    }

    /// Plays a fault that changes the state of an exchange; each exchange has at most one at a time.
    async fn change_exchange(self: &Rc<Self>, fault: &PlannedFault) {
        if !self.changing_exchanges.borrow_mut().insert(fault.target) {
            return;
        }
        let exchange = self.exchanges.borrow()[fault.target].clone();
        match fault.kind {
            FaultKind::CutOff => {
                exchange.cut_off();
                sleep(fault.duration_s).await;
                exchange.resume();
            }
            FaultKind::Hang | FaultKind::StallExchange => {
                exchange.hang();
                sleep(fault.duration_s).await;
                exchange.resume();
            }
            FaultKind::StartTimes => self.tell_start_times(&exchange, fault.duration_s).await,
            FaultKind::ListedGone => {
                self.publish(&[(exchange.clone(), Lifecycle::Gone, 0)]);
                sleep(fault.duration_s).await;
                self.publish(&[(exchange, Lifecycle::Ready, 0)]);
            }
            FaultKind::RefuseConnects => self.refuse_connects(&exchange, fault.duration_s).await,
            FaultKind::Vanish => {
                exchange.vanish();
                sleep(fault.duration_s).await;
                self.replace_with_new_exchange(fault.target, &exchange);
            }
            FaultKind::Drain => {
                self.publish(&[(exchange.clone(), Lifecycle::Draining, 0)]);
                sleep(fault.duration_s).await;
                exchange.stop();
                self.replace_with_new_exchange(fault.target, &exchange);
            }
            FaultKind::Die => {
                exchange.crash();
                sleep(fault.duration_s).await;
                self.restart_at_address(&exchange).await;
            }
            FaultKind::ReplaceAtAddress => {
                exchange.vanish();
                sleep(fault.duration_s).await;
                self.restart_at_address(&exchange).await;
            }
            _ => {
                let started = unix_ms();
                exchange.restart_at_once();
                exchange.record_cold_start();
                sleep(ROSTER_DELAY_S).await;
                self.publish(&[(exchange, Lifecycle::Ready, started)]);
            }
        }
        self.changing_exchanges.borrow_mut().remove(&fault.target);
    }

    /// Starts a new exchange that takes the number of one that is gone.
    fn replace_with_new_exchange(&self, exchange_index: usize, old: &Exchange) {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let (name, proxies) = (format!("s{exchange_index}-{number}"), self.plan.proxies);
        let Ok(new) = Exchange::start(&self.executor, &self.record, &name, old.number(), proxies) else {
            return;
        };
        new.record_cold_start();
        self.publish(&[(old.clone(), Lifecycle::Gone, 0), (new.clone(), Lifecycle::Ready, unix_ms())]);
        self.exchanges.borrow_mut()[exchange_index] = new;
    }

    /// Lets discovery give an exchange that lives on a start time, none, an earlier one and, at last, a wrong one.
    async fn tell_start_times(&self, exchange: &Exchange, duration_s: f64) {
        let earlier = unix_ms() - EARLIER_START_MS;
        let wrong = |at: u64| at - WRONG_START_MS;
        for told in [Some(earlier), Some(0), Some(earlier - EARLIER_START_MS), None] {
            let started_at = told.unwrap_or_else(|| wrong(unix_ms()));
            self.publish(&[(exchange.clone(), Lifecycle::Ready, started_at)]);
            sleep(duration_s / 4.0).await;
        }
    }

    /// Refuses new connections to an exchange that works on, and resets the open ones.
    async fn refuse_connects(&self, exchange: &Exchange, duration_s: f64) {
        exchange.refuse_connections();
        // Lets the stand-in stop accepting first.
        sleep(CLOSE_LISTENER_S).await;
        for proxy in 0..self.plan.proxies {
            while exchange.reset_connection(proxy) {}
        }
        sleep(duration_s).await;
        while exchange.accept_connections().await.is_err() {
            sleep(CLOSE_LISTENER_S).await;
        }
    }

    /// Starts another process at the same address; discovery publishes it after a delay.
    async fn restart_at_address(&self, exchange: &Exchange) {
        let started = unix_ms();
        if exchange.replace().await.is_ok() {
            exchange.record_cold_start();
            sleep(ROSTER_DELAY_S).await;
            self.publish(&[(exchange.clone(), Lifecycle::Ready, started)]);
        }
    }

    async fn misbehave(&self, fault: &PlannedFault) {
        let exchange = self.exchanges.borrow()[fault.target].clone();
        let no_misbehaviour = Misbehaviour::default();
        exchange.set_misbehaviour(match fault.kind {
            FaultKind::AnswersLate => {
                Misbehaviour { answer_delay: self.plan.give_up * 0.7, ..no_misbehaviour }
            }
            FaultKind::FrontTimeouts => Misbehaviour {
                front_timeout: Some(self.variation(fault, LONGEST_FRONT_TIMEOUT_S)),
                answer_delay: self.plan.give_up * 0.7,
                ..no_misbehaviour
            },
            FaultKind::ErrorAnswers => {
                Misbehaviour { errors: true, duplicate_answers: true, ..no_misbehaviour }
            }
            FaultKind::AnswersTwice => Misbehaviour { duplicate_answers: true, ..no_misbehaviour },
            FaultKind::ReadsLate => {
                let read_delay = self.variation(fault, LONGEST_READ_DELAY_S);
                Misbehaviour { read_delay, ..no_misbehaviour }
            }
            FaultKind::AnswersSpoilt => Misbehaviour { malformed_answers: true, ..no_misbehaviour },
            FaultKind::Pieces => Misbehaviour { fragmented_writes: true, ..no_misbehaviour },
            FaultKind::AcceptsLate => Misbehaviour { accept_delay: 0.8, ..no_misbehaviour },
            _ => Misbehaviour { releases_on_other_connection: true, ..no_misbehaviour },
        });
        sleep(fault.duration_s).await;
        exchange.set_misbehaviour(no_misbehaviour);
    }

    /// Returns a value between a tenth of `most` and `most` that the plan determines.
    fn variation(&self, fault: &PlannedFault, most: f64) -> f64 {
        most * (0.1 + 0.9 * (fault.at * 7.0).fract())
    }

    /// Disturbs the network between all proxies and an exchange.
    async fn disturb_links(&self, fault: &PlannedFault) {
        if !self.disturbed_links.borrow_mut().insert(fault.target) {
            return;
        }
        let exchange = self.exchanges.borrow()[fault.target].clone();
        let cut = Link { cut: true, delay: 0.0 };
        let slow = Link { cut: false, delay: self.variation(fault, LONGEST_NETWORK_DELAY_S) };
        let (to_exchange, to_proxy) = match fault.kind {
            FaultKind::CutToExchange => (cut, Link::default()),
            FaultKind::CutFromExchange => (Link::default(), cut),
            _ => (slow, slow),
        };
        self.set_links(&exchange, (to_exchange, to_proxy));
        self.record.add(exchange.name(), 0, "", Observation::LinkDisturbed);
        sleep(fault.duration_s).await;
        self.set_links(&exchange, (Link::default(), Link::default()));
        self.record.add(exchange.name(), 0, "", Observation::LinkRestored);
        self.disturbed_links.borrow_mut().remove(&fault.target);
    }

    fn set_links(&self, exchange: &Exchange, (to_exchange, to_proxy): (Link, Link)) {
        for proxy in 0..self.plan.proxies {
            if let Some(relay) = self.relays.borrow().get(&exchange.addr(proxy)) {
                relay.set_links(to_exchange, to_proxy);
            }
        }
    }

    fn disturb_connections(&self, fault: &PlannedFault) {
        let exchange = self.exchanges.borrow()[fault.target].clone();
        for proxy in 0..self.plan.proxies {
            match fault.kind {
                FaultKind::Reset => exchange.reset_connection(proxy),
                FaultKind::Close => exchange.close_connection(proxy),
                _ => exchange.silence_connection(proxy),
            };
        }
    }

    async fn stop_discovery(&self, fault: &PlannedFault) {
        for discovery in &self.discoveries {
            match fault.kind {
                FaultKind::DiscoveryDown => discovery.go_down(),
                _ => discovery.go_silent(),
            }
        }
        sleep(fault.duration_s).await;
        for discovery in &self.discoveries {
            // The address may still be in use for a moment.
            while discovery.recover().is_err() {
                sleep(0.01).await;
            }
        }
    }

    async fn move_discovery(&self) {
        for (supervised, discovery) in self.proxies.iter().zip(&self.discoveries) {
            if discovery.change_address().is_ok() {
                supervised.reconfigure(discovery).await;
            }
        }
    }

    /// Sends malformed requests and a duplicate Call-ID, each on a connection of its own.
    async fn send_malformed_requests(&self, proxy: usize) {
        let duplicate_call_id =
            "INVITE sip:a5-h10@net SIP/2.0\r\nCall-ID: ffffffffffffffff\r\nCSeq: 1 INVITE\r\n\
            X-Tier: alarm\r\nX-Deadline: 200\r\nX-Attrs: dest:100\r\nContent-Length: 0\r\n\r\n"
                .repeat(2);
        let malformed: [&[u8]; 6] = [
            b"\0\xff\xfe garbage \r\n\r\n",
            b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123456789abcdef\r\nContent-Length: -4\r\n\r\n",
            b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123456789abcdef\r\nCSeq: 1 INVITE\r\nContent-Length: 9999\r\n\r\nabc",
            b"SIP/2.0 200 OK\r\nCall-ID: 0123456789abcdef\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n",
            b"BYE sip:x@net SIP/2.0\r\nCall-ID: 0123456789abcdef\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
            duplicate_call_id.as_bytes(),
        ];
        for bytes in malformed {
            let Ok(mut stream) = TcpStream::connect(self.proxies[proxy].listen()).await else { return };
            // The proxy may close the connection before it has read everything.
            let _ = stream.write_all(bytes).await;
            let keep_open = async move {
                sleep(1.0).await;
                drop(stream);
            };
            self.executor.spawn(keep_open).detach();
        }
    }

    fn open_crowd(&self, proxy: usize) {
        for _ in 0..CROWD_CONNECTIONS {
            let listen = self.proxies[proxy].listen();
            let connection = async move {
                let Ok(mut stream) = TcpStream::connect(listen).await else { return };
                let _ = stream.write_all(b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123").await;
                sleep(CROWD_HOLD_S).await;
            };
            self.executor.spawn(connection).detach();
        }
    }
}
