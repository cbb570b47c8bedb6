//! The wall clock, and the actor that runs the timer wheel shared by all actors.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::channel::{Receiver, Sender};
use smol::future;
use smol::Timer;

use super::engine::EngineMessage;
use super::platform::PlatformMessage;
use super::post;
use super::sip::SipFrontMessage;
use crate::calls::wheel::TimerWheel;
use crate::calls::{CallEvent, CallTimer};
use crate::interface::{Secs, Time};
use crate::sip::agent::AgentTimer;

/// Unix time that never goes back: the wall clock at start plus the monotonic time since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Secs,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the present system time.
    pub fn system() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_start.as_secs_f64(), start: Instant::now() }
    }

    /// The present time in seconds since the Unix epoch.
    pub fn now(&self) -> Time {
        Time(self.unix_start + self.start.elapsed().as_secs_f64())
    }
}

/// A timer, and so the actor that is notified when it expires.
#[derive(Debug)]
pub enum TimerKind {
    /// A timer of the call table.
    Call(CallTimer),
    /// A timer of the SIP front.
    Sip(AgentTimer),
    /// The platform front's periodic check of its connections.
    ConnectionCheck,
}

/// The mailbox of the clock actor: timers with their expiry times.
pub type TimerSender = Sender<(Time, TimerKind)>;

/// Runs the clock actor: takes timers from its mailbox and notifies the owner of each when it expires.
pub async fn run(
    clock: Clock,
    mailbox: Receiver<(Time, TimerKind)>,
    engine: Sender<EngineMessage>,
    sip: Option<Sender<SipFrontMessage>>,
    platform: Option<Sender<PlatformMessage>>,
) {
    let mut wheel = TimerWheel::new(clock.now());
    loop {
        let received = match wheel.next_tick() {
            None => mailbox.recv().await.map(Some),
            Some(next) => {
                let wait = Duration::from_secs_f64((next - clock.now()).max(0.0));
                let expiry = async {
                    Timer::after(wait).await;
                    Ok(None)
                };
                future::or(async { mailbox.recv().await.map(Some) }, expiry).await
            }
        };
        match received {
            Ok(Some((at, kind))) => wheel.insert(at, kind),
            Ok(None) => {}
            Err(_) => return,
        }
        for kind in wheel.take_due(clock.now()) {
            match (kind, &sip) {
                (TimerKind::Call(timer), _) => {
                    post(&engine, EngineMessage::Input(CallEvent::TimerExpired(timer))).await
                }
                (TimerKind::Sip(alarm), Some(sip)) => post(sip, SipFrontMessage::TimerExpired(alarm)).await,
                (TimerKind::Sip(_), None) => {}
                (TimerKind::ConnectionCheck, _) => {
                    if let Some(platform) = &platform {
                        post(platform, PlatformMessage::CheckConnections).await;
                    }
                }
            }
        }
    }
}
