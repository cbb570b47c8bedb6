//! What happens to a program of which a task panics.

use std::net::{TcpListener as StdListener, TcpStream};

use mallowring::net::supervision;
use smol::net::TcpListener;

/// Guards against a program that runs on with its ports open after an actor has ended (review, case 1): a panic of any
/// task, even one that another task has spawned, ends it with an error that names the task, and closes its sockets.
#[test]
fn a_panic_of_any_task_ends_the_program_and_closes_its_ports() {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    let ended = supervision::run::<()>(async |tasks| {
        let listener = TcpListener::try_from(listener).expect("a listener");
        tasks.spawn("listener", async move { while listener.accept().await.is_ok() {} });
        TcpStream::connect(addr).expect("the port is open");
        let inner = tasks.clone();
        tasks.spawn("front", async move {
            inner.spawn("reader", async { panic!("an odd {}", "message") });
            std::future::pending::<()>().await;
        });
        std::future::pending().await
    });
    let error = ended.expect_err("the main task never ends by itself").to_string();
    assert_eq!(error, "the task 'reader' panicked: an odd message");
    assert!(TcpStream::connect(addr).is_err(), "the port is still open");
}

#[test]
fn a_panic_of_the_main_task_is_an_error_too() {
    let ended = supervision::run::<()>(async |_| panic!("no call table"));
    assert_eq!(ended.expect_err("it panicked").to_string(), "the task 'main' panicked: no call table");
}

#[test]
fn the_result_of_the_main_task_is_returned() {
    let ended = supervision::run(async |tasks| {
        tasks.spawn("endless", std::future::pending());
        Ok(7)
    });
    assert_eq!(ended.expect("no task panicked"), 7);
}
