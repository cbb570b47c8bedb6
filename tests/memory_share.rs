//! One caller whose set-ups take much memory leaves room for the calls of others, and the proxy keeps its limit.

mod deployment;

use deployment::{call_ids, Deployment};
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::proxy::ProxyConfig;
use mallowring_standin::record::now;
use mallowring_standin::{run, sleep};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

/// Memory limit of the proxy, in MB.
const LIMIT_MB: u64 = 16;
/// Set-ups of the greedy caller, more than the whole share of call records holds.
const GREEDY_SET_UPS: u64 = 800;
/// Pause in seconds between two of them.
const GREEDY_PAUSE: f64 = 0.001;
/// Time in seconds until the other caller begins; the greedy one goes on meanwhile.
const FILLING_TIME: f64 = 0.6;
/// Length in bytes of what makes each of them large.
const FILLER_BYTES: usize = 13_000;

/// Exchanges, numbered from 1, that answer the greedy caller only after its deadlines.
const SLOW_EXCHANGES: i64 = 10;
/// Number of the exchange that serves the other caller.
const SERVING: i64 = SLOW_EXCHANGES + 1;

/// What makes a set-up large.
#[derive(Clone, Copy, Debug)]
enum Filler {
    Description,
    Header,
}

fn large_set_up(call_id: &str, destination: i64, filler: Filler) -> Vec<u8> {
    let number = CallScript { answer_ms: 60_000, hold_ms: 60_000 }.called_number();
    let set_up = SetUp { call_id: call_id.to_owned(), number, deadline_ms: 2500, destination };
    let mut message = set_up.message();
    let text = "x".repeat(FILLER_BYTES);
    match filler {
        Filler::Description => message.body = text.into_bytes(),
        Filler::Header => message = message.with("Via", format!("SIP/2.0/TCP caller;branch={text}")),
    }
    message.to_bytes()
}

fn assert_within_limit(deployment: &Deployment) {
    let peak_kb = deployment.proxy.memory_kb().1;
    assert!(peak_kb < LIMIT_MB * 1024, "{peak_kb} kB");
}

/// The exchanges of the greedy caller answer late, so that its set-ups stay open until their deadlines.
fn others_are_served_beside_large_set_ups(filler: Filler) {
    run(async |tasks| {
        let config = ProxyConfig { limits: (LIMIT_MB, 256), ..ProxyConfig::new("n0", 0, 2) };
        let deployment = Deployment::with_config(tasks.clone(), SLOW_EXCHANGES + 1, config).await;
        let caller = deployment.caller("c").await;
        deployment.establish(&caller, SERVING, &call_ids(1, 1), 60_000).await;
        let mut greedy = TcpStream::connect(deployment.proxy.listen).await.expect("it accepts");
        let mut answers = greedy.clone();
        let read_answers = async move {
            // Ends when the proxy closes the connection.
            let _ = smol::io::copy(&mut answers, &mut smol::io::sink()).await;
        };
        tasks.spawn(read_answers).detach();
        let send_large_set_ups = async move {
            for (n, call) in (0..).zip(call_ids(3, GREEDY_SET_UPS)) {
                let set_up = large_set_up(&call, 1 + n % SLOW_EXCHANGES, filler);
                // Fails when the proxy has closed the connection.
                if greedy.write_all(&set_up).await.is_err() {
                    break;
                }
                sleep(GREEDY_PAUSE).await;
            }
        };
        tasks.spawn(send_large_set_ups).detach();
        sleep(FILLING_TIME).await;
        assert_within_limit(&deployment);
        for call in call_ids(2, 15) {
            deployment.send_set_up(&caller, SERVING, &call, 100).await;
            assert!(
                deployment.established_by(&call, now() + 3.0).await,
                "{call}\n{}",
                deployment.proxy.log()
            );
            sleep(0.01).await;
        }
        assert_within_limit(&deployment);
    });
}

/// Guards against one caller that takes the whole share of the call records: the calls of all others were refused.
#[test]
fn large_descriptions_of_one_caller_leave_room_for_other_calls() {
    others_are_served_beside_large_set_ups(Filler::Description);
}

/// Guards against headers of open set-ups that count for no share: the proxy went over its limit.
#[test]
fn large_headers_of_one_caller_leave_room_for_other_calls() {
    others_are_served_beside_large_set_ups(Filler::Header);
}
