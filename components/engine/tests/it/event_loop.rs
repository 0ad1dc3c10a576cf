//! One event loop per test thread.

use tokio::runtime::{Builder, Runtime};

thread_local! {
    static RUNTIME: Runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
}

/// Runs a future to completion on the thread's event loop.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RUNTIME.with(|runtime| runtime.block_on(future))
}
