//! Watches over a trial: whether its own processes got their time, what the proxies hold, who closes idle connections.

use std::rc::Rc;

use mallowring_standin::record::{now, Observation};
use mallowring_standin::sleep;

use super::Stage;
use crate::judge::view::STALL_THRESHOLD_S;

/// Between two looks at the time.
const TICK: f64 = 0.01;
/// Looks between two samples of the proxies.
const SAMPLE: u64 = 20;

impl Stage {
    pub(super) fn watch(self: Rc<Self>) {
        let stage = self.clone();
        let watching = async move {
            let mut looks = 0;
            let mut delays: Vec<u64> = vec![0; stage.proxies.len()];
            while !stage.over.get() {
                let before = now();
                sleep(TICK).await;
                let late = now() - before - TICK;
                if late > STALL_THRESHOLD_S {
                    stage.record.add("trial", 0, "", Observation::HeldUp(late));
                }
                looks += 1;
                if looks % SAMPLE == 0 {
                    stage.sample(&mut delays);
                }
            }
        };
        self.tasks.spawn(watching).detach();
    }

    fn sample(&self, delays: &mut [u64]) {
        self.pools.iter().for_each(|pool| pool.close_idle());
        for (proxy, slot) in self.proxies.iter().enumerate() {
            slot.look();
            if let Some((memory_kb, descriptors)) = slot.resources() {
                self.record.add("trial", proxy, "", Observation::Resources { memory_kb, descriptors });
            }
            // A proxy that waited for a processor is no slower than its machine.
            let delay = slot.scheduling_delay_ns();
            let waited = delay.saturating_sub(delays[proxy]) as f64 / 1e9;
            if delays[proxy] > 0 && waited > STALL_THRESHOLD_S {
                self.record.add("trial", proxy, "", Observation::HeldUp(TICK * SAMPLE as f64));
            }
            delays[proxy] = delay;
        }
    }
}
