//! The system's clocks, and the actor that turns the one timer wheel.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::channel::{Receiver, Sender};
use smol::future;
use smol::Timer;

use crate::calls::wheel::Wheel;
use crate::interface::{Secs, Time};

/// Unix time as it was at the start plus what has passed since: it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Secs,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_secs_f64(), start: Instant::now() }
    }

    /// Seconds of Unix time.
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed().as_secs_f64())
    }
}

/// What the clock's actor is asked for: a message to be sent at a time.
pub type Alarm<M> = (Time, M);

/// Turns the wheel: takes alarms from its mailbox and posts each when it is due.
pub async fn run<M>(clock: Clock, mailbox: Receiver<Alarm<M>>, to: Sender<M>) {
    let mut wheel = Wheel::new(clock.now());
    loop {
        let got = match wheel.next() {
            None => mailbox.recv().await.map(Some),
            Some(due) => {
                let wait = Duration::from_secs_f64((due - clock.now()).max(0.0));
                let tick = async {
                    Timer::after(wait).await;
                    Ok(None)
                };
                future::or(async { mailbox.recv().await.map(Some) }, tick).await
            }
        };
        match got {
            Ok(Some((at, message))) => wheel.add(at, message),
            Ok(None) => {}
            Err(_) => return,
        }
        for message in wheel.due(clock.now()) {
            if to.send(message).await.is_err() {
                return;
            }
        }
    }
}
