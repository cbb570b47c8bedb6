//! Supervision of the tasks of the proxy. After a panic the state of an actor is unknown, so a panic of any task is
//! logged and ends the program: whoever started it starts it again, and no port stays open that no task serves.

use std::any::Any;
use std::future::Future;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::rc::{Rc, Weak};

use smol::channel::{bounded, Sender};
use smol::future::{self, FutureExt};
use smol::LocalExecutor;
use thiserror::Error;

/// Name of the main task in logs and errors.
const MAIN_TASK: &str = "main";

/// A task has panicked.
#[derive(Debug, Error)]
#[error("the task '{task}' panicked: {message}")]
pub struct TaskPanicked {
    /// Name of the task.
    pub task: &'static str,
    /// The message of the panic.
    pub message: String,
}

impl TaskPanicked {
    fn new(task: &'static str, payload: Box<dyn Any + Send>) -> Self {
        let message = message_of(payload.as_ref()).to_owned();
        tracing::error!(task, message, "task panicked: the program ends");
        TaskPanicked { task, message }
    }
}

/// The single-threaded executor that runs all tasks; clones share it.
#[derive(Clone)]
pub struct Executor {
    /// Owned by [`run`], so that its end drops all tasks with their sockets.
    tasks: Weak<LocalExecutor<'static>>,
    panics: Sender<TaskPanicked>,
}

impl Executor {
    /// Runs a task in the background. If it panics, the program ends.
    pub fn spawn(&self, name: &'static str, work: impl Future<Output = ()> + 'static) {
        let Some(tasks) = self.tasks.upgrade() else { return };
        let panics = self.panics.clone();
        let supervised = async move {
            if let Err(payload) = AssertUnwindSafe(work).catch_unwind().await {
                // After the first panic the program ends, so others need not be reported.
                let _ = panics.try_send(TaskPanicked::new(name, payload));
            }
        };
        tasks.spawn(supervised).detach();
    }
}

/// Runs the main task, and the tasks that it spawns, until the main task ends or any task panics. All tasks are dropped
/// then. A panic is returned as an error.
pub fn run<T>(main: impl AsyncFnOnce(Executor) -> io::Result<T>) -> io::Result<T> {
    let (panics, first_panic) = bounded(1);
    let tasks = Rc::new(LocalExecutor::new());
    let executor = Executor { tasks: Rc::downgrade(&tasks), panics };
    let supervised_main = async {
        match AssertUnwindSafe(main(executor)).catch_unwind().await {
            Ok(result) => result,
            Err(payload) => Err(io::Error::other(TaskPanicked::new(MAIN_TASK, payload))),
        }
    };
    let panicked = async {
        match first_panic.recv().await {
            Ok(panicked) => Err(io::Error::other(panicked)),
            // Every executor is gone; the main task goes on.
            Err(_) => future::pending().await,
        }
    };
    smol::block_on(tasks.run(future::or(panicked, supervised_main)))
}

/// Writes every panic of the process to the log, with its place in the source.
pub fn log_panics() {
    panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        tracing::error!(location, message = message_of(panic.payload()), "panic");
    }));
}

/// The message of a panic.
fn message_of(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("without a message")
}
