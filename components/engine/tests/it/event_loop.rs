//! An event loop for each test's thread.

use tokio::runtime::{Builder, Runtime};

thread_local! {
    static LOOP: Runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
}

/// Runs a future on the thread's event loop.
pub fn block<F: Future>(future: F) -> F::Output {
    LOOP.with(|runtime| runtime.block_on(future))
}
