//! Calls of engines and of the weight store for the control thread, which never blocks.

use std::sync::Arc;

use engine::{Client, OrderError};
use externals::{PlatformError, WeightStore};
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use types::prelude::*;

use crate::event::Event;
use crate::polls::poll;
use crate::pool::Pool;
use crate::shared::Shared;
use crate::systems::rollout::{Call, Called};
use ::rollout::{Order, OrderKind};
use routing::UpstreamIndex;

/// Calls under way at once.
const MAX_CALLS: usize = 16;
const TIMEOUT: Span = Span::from_secs(2);
/// The weight store is asked again after, when it did not say.
const ASK_AGAIN: Span = Span::from_secs(2);
/// Status of an engine that has no room for another version.
const NO_ROOM: u16 = 507;

/// A call of an engine.
enum Job {
    Read(ModelName, UpstreamId, std::net::SocketAddr),
    Order(ModelName, Order, std::net::SocketAddr),
    /// Ask for its load, for routing.
    Poll(UpstreamIndex),
}

/// Makes calls off the control thread: of engines on an event loop, of the weight store on
/// threads, since its client blocks.
pub(crate) struct Calling {
    shared: Arc<Shared>,
    jobs: flume::Sender<Job>,
    pool: Pool,
}

impl Calling {
    /// Starts the event loop; it ends with this.
    ///
    /// # Errors
    /// When its thread cannot be started.
    pub(crate) fn start(shared: Arc<Shared>) -> std::io::Result<Self> {
        let (jobs, rx) = flume::bounded(MAX_CALLS);
        let calls = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new().name("calls".to_owned());
        thread.spawn(move || LocalSet::new().block_on(&runtime, serve(calls, rx)))?;
        Ok(Self {
            shared,
            jobs,
            pool: Pool::new(MAX_CALLS),
        })
    }

    /// Makes a call; how it ended comes as an event. One beyond the bound is dropped: a
    /// driver wants the same again at its next tick.
    pub(crate) fn call(&self, call: Call) {
        let job = match call {
            Call::Read(model, id, address) => Job::Read(model, id, address),
            Call::Order(model, order, address) => Job::Order(model, order, address),
            Call::Permit(version) => return self.take_slot(version),
        };
        if self.jobs.try_send(job).is_err() {
            tracing::debug!("rollout: a call is dropped, too many are under way");
        }
    }

    /// Asks an engine for its load; dropped beyond the bound, since polls come again.
    pub(crate) fn poll(&self, index: UpstreamIndex) {
        if self.jobs.try_send(Job::Poll(index)).is_err() {
            tracing::debug!("routing: a poll is dropped, too many calls are under way");
        }
    }

    /// Runs other work of the control thread that may block.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.pool.run(job).is_ok()
    }

    fn take_slot(&self, version: VersionId) {
        let shared = self.shared.clone();
        let model = version.model.clone();
        let run = self.pool.run(move || {
            let answer = slot(&shared, &version);
            let _ = shared
                .events
                .send(Event::Called(Called::Permit(version.model, answer)));
        });
        if run.is_err() {
            let answer = Called::Permit(model, Err(ASK_AGAIN));
            let _ = self.shared.events.try_send(Event::Called(answer));
        }
    }
}

/// Runs jobs side by side, at most so many as may be under way.
async fn serve(shared: Arc<Shared>, jobs: flume::Receiver<Job>) {
    let client = Client::default();
    let under_way = Arc::new(Semaphore::new(MAX_CALLS));
    while let Ok(job) = jobs.recv_async().await {
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&under_way).acquire_owned().await else {
            return;
        };
        let (shared, client) = (shared.clone(), client.clone());
        tokio::task::spawn_local(async move {
            let _permit = permit;
            run(&shared, &client, job).await;
        });
    }
}

async fn run(shared: &Shared, client: &Client, job: Job) {
    let called = match job {
        Job::Read(model, id, address) => match client.load_report(address, TIMEOUT).await {
            Ok(report) => Some(Called::Report(model, id, report)),
            Err(e) => {
                tracing::debug!("rollout: {id} gave no load report: {e}");
                None
            }
        },
        Job::Order(model, order, address) => send(shared, client, model, &order, address).await,
        Job::Poll(index) => {
            poll(shared, client, index).await;
            None
        }
    };
    if let Some(called) = called {
        // The control thread may have ended before this one.
        let _ = shared.events.send_async(Event::Called(called)).await;
    }
}

async fn send(
    shared: &Shared,
    client: &Client,
    model: ModelName,
    order: &Order,
    address: std::net::SocketAddr,
) -> Option<Called> {
    // The last look at the lease before the order leaves: this thread may have waited, or
    // the process been paused, since the driver decided.
    if shared.now().has_reached(order.not_after) {
        tracing::warn!(
            "rollout: an order to {} is dropped, its lease is over",
            order.engine
        );
        return None;
    }
    let version = VersionId::new(model.clone(), order.version.clone());
    let sent = match order.kind {
        OrderKind::Load => {
            let fencing = order.fencing;
            client.order_load(address, &version, fencing, TIMEOUT).await
        }
        OrderKind::Unload => {
            let fencing = order.fencing;
            client
                .order_unload(address, &version, fencing, TIMEOUT)
                .await
        }
    };
    shared.metrics.rollout_orders.inc();
    match sent {
        Ok(()) => None,
        Err(OrderError::Refused {
            status: NO_ROOM, ..
        }) => Some(Called::Full(model, order.engine.clone())),
        Err(e) => {
            tracing::warn!("rollout: {} did not take its order: {e}", order.engine);
            None
        }
    }
}

/// Without a weight store in the settings, loads need no leave.
fn slot(shared: &Shared, version: &VersionId) -> Result<(), Span> {
    let Some(address) = shared.settings.platform.weights else {
        return Ok(());
    };
    match WeightStore::new(address).take_slot(version) {
        Ok(_) => Ok(()),
        Err(PlatformError::Later(pause)) => Err(pause),
        Err(PlatformError::Failed(reason)) => {
            tracing::warn!("rollout: the weight store gave no answer: {reason}");
            Err(ASK_AGAIN)
        }
    }
}
