//! The system's clocks, and the actor that turns the one timer wheel.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::channel::{Receiver, Sender};
use smol::future;
use smol::Timer;

use super::engine::EngineMessage;
use super::platform::PlatformMessage;
use super::post;
use super::sip::SipFrontMessage;
use crate::calls::wheel::Wheel;
use crate::calls::{CallEvent, CallTimer};
use crate::interface::{Secs, Time};
use crate::sip::agent::Alarm;

/// Unix time as it was at the start plus what has passed since: it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Secs,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn system() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_start.as_secs_f64(), start: Instant::now() }
    }

    /// Seconds of Unix time.
    pub fn now(&self) -> Time {
        Time(self.unix_start + self.start.elapsed().as_secs_f64())
    }
}

/// What is to be done when a time has come.
#[derive(Debug)]
pub enum TimerKind {
    /// The core wants to be woken.
    Call(CallTimer),
    /// The SIP front does.
    Sip(Alarm),
    /// The platform's front looks after its connections.
    ConnectionCheck,
}

/// What the clock's actor is asked for.
pub type TimerSender = Sender<(Time, TimerKind)>;

/// Turns the wheel: takes alarms from its mailbox and posts each when it is due.
pub async fn run(
    clock: Clock,
    mailbox: Receiver<(Time, TimerKind)>,
    engine: Sender<EngineMessage>,
    sip: Option<Sender<SipFrontMessage>>,
    platform: Option<Sender<PlatformMessage>>,
) {
    let mut wheel = Wheel::new(clock.now());
    loop {
        let received = match wheel.next() {
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
            Ok(Some((at, kind))) => wheel.add(at, kind),
            Ok(None) => {}
            Err(_) => return,
        }
        for kind in wheel.due(clock.now()) {
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
