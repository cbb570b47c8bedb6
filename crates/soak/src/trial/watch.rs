//! Monitors a trial: detects stalls of the test machine, samples the resources of the proxies and closes idle
//! connections.

use std::rc::Rc;

use mallowring_standin::record::{now, Observation};
use mallowring_standin::sleep;

use super::RunningTrial;
use crate::judge::view::STALL_THRESHOLD_S;

/// Interval in seconds between two checks of the clock.
const CHECK_INTERVAL_S: f64 = 0.01;
/// Number of checks between two samples of the proxies.
const CHECKS_PER_SAMPLE: u64 = 20;

impl RunningTrial {
    pub(super) fn watch(self: Rc<Self>) {
        let trial = self.clone();
        let watch_loop = async move {
            let mut checks = 0;
            let mut run_delays_ns: Vec<u64> = vec![0; trial.proxies.len()];
            while !trial.finished.get() {
                let check_started_at = now();
                sleep(CHECK_INTERVAL_S).await;
                let delay_s = now() - check_started_at - CHECK_INTERVAL_S;
                if delay_s > STALL_THRESHOLD_S {
                    trial.record.add("trial", 0, "", Observation::Stalled(delay_s));
                }
                checks += 1;
                if checks % CHECKS_PER_SAMPLE == 0 {
                    trial.sample(&mut run_delays_ns);
                }
            }
        };
        self.executor.spawn(watch_loop).detach();
    }

    fn sample(&self, run_delays_ns: &mut [u64]) {
        self.pools.iter().for_each(|pool| pool.close_idle());
        for (proxy, supervised) in self.proxies.iter().enumerate() {
            supervised.detect_exit();
            if let Some((memory_kb, descriptors)) = supervised.resources() {
                self.record.add("trial", proxy, "", Observation::Resources { memory_kb, descriptors });
            }
            // A proxy that waited for a CPU is slow because of the machine: the calls in progress are not judged.
            let run_delay_ns = supervised.scheduling_delay_ns();
            let waited_s = run_delay_ns.saturating_sub(run_delays_ns[proxy]) as f64 / 1e9;
            if run_delays_ns[proxy] > 0 && waited_s > STALL_THRESHOLD_S {
                self.record.add(
                    "trial",
                    proxy,
                    "",
                    Observation::Stalled(CHECK_INTERVAL_S * CHECKS_PER_SAMPLE as f64),
                );
            }
            run_delays_ns[proxy] = run_delay_ns;
        }
    }
}
