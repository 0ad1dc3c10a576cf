//! Calls engines and the weight store for the control thread, which never blocks.

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
use crate::systems::rollout::{Call, CallResult};
use ::rollout::{Order, OrderKind};
use routing::UpstreamIndex;

/// Most calls in flight at once, of engines and of the weight store each.
const MAX_CALLS: usize = 16;
const CALL_TIMEOUT: Span = Span::from_secs(2);
/// Pause before the weight store is asked again, if it did not name one.
const SLOT_RETRY_PAUSE: Span = Span::from_secs(2);
/// Status with which an engine refuses a load because it has no room for another version.
const NO_ROOM: u16 = 507;

/// A call of an engine.
enum Job {
    Read(ModelName, UpstreamId, std::net::SocketAddr),
    Order(ModelName, Order, std::net::SocketAddr),
    /// Read its load report, for routing.
    Poll(UpstreamIndex),
}

/// Makes calls off the control thread: of engines on an event loop, of the weight store on a
/// thread pool, since its client blocks.
pub(crate) struct OutboundCalls {
    shared: Arc<Shared>,
    jobs: flume::Sender<Job>,
    pool: Pool,
}

impl OutboundCalls {
    /// Starts the event loop; it ends when this value is dropped.
    ///
    /// # Errors
    /// When the thread or its event loop cannot be started.
    pub(crate) fn start(shared: Arc<Shared>) -> std::io::Result<Self> {
        let (jobs, rx) = flume::bounded(MAX_CALLS);
        let loop_shared = shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new().name("calls".to_owned());
        thread.spawn(move || LocalSet::new().block_on(&runtime, serve(loop_shared, rx)))?;
        Ok(Self {
            shared,
            jobs,
            pool: Pool::new(MAX_CALLS),
        })
    }

    /// Starts a call; its result comes as an event. A call beyond the bound is dropped: a driver
    /// asks for it again at its next tick.
    pub(crate) fn call(&self, call: Call) {
        let job = match call {
            Call::Read(model, id, address) => Job::Read(model, id, address),
            Call::Order(model, order, address) => Job::Order(model, order, address),
            Call::Permit(version) => return self.take_slot(version),
        };
        if self.jobs.try_send(job).is_err() {
            tracing::debug!("rollout: a call is dropped, too many are in flight");
        }
    }

    /// Polls an engine's load. Beyond the bound a poll is dropped, since polls are repeated anyway.
    pub(crate) fn poll(&self, index: UpstreamIndex) {
        if self.jobs.try_send(Job::Poll(index)).is_err() {
            tracing::debug!("routing: a poll is dropped, too many calls are in flight");
        }
    }

    /// Runs a blocking job of the control thread on the pool; false if no thread is free.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.pool.run(job).is_ok()
    }

    fn take_slot(&self, version: VersionId) {
        let shared = self.shared.clone();
        let model = version.model.clone();
        let run = self.pool.run(move || {
            let answer = request_slot(&shared, &version);
            let _ = shared
                .events
                .send(Event::Called(CallResult::Permit(version.model, answer)));
        });
        if run.is_err() {
            let answer = CallResult::Permit(model, Err(SLOT_RETRY_PAUSE));
            let _ = self.shared.events.try_send(Event::Called(answer));
        }
    }
}

/// Runs jobs concurrently, at most [`MAX_CALLS`] at once.
async fn serve(shared: Arc<Shared>, jobs: flume::Receiver<Job>) {
    let client = Client::default();
    let in_flight = Arc::new(Semaphore::new(MAX_CALLS));
    while let Ok(job) = jobs.recv_async().await {
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else {
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
    let result = match job {
        Job::Read(model, id, address) => match client.load_report(address, CALL_TIMEOUT).await {
            Ok(report) => Some(CallResult::Report(model, id, report)),
            Err(e) => {
                tracing::debug!("rollout: {id} gave no load report: {e}");
                None
            }
        },
        Job::Order(model, order, address) => {
            send_order(shared, client, model, &order, address).await
        }
        Job::Poll(index) => {
            poll(shared, client, index).await;
            None
        }
    };
    if let Some(result) = result {
        // Fails only if the control thread has ended.
        let _ = shared.events.send_async(Event::Called(result)).await;
    }
}

async fn send_order(
    shared: &Shared,
    client: &Client,
    model: ModelName,
    order: &Order,
    address: std::net::SocketAddr,
) -> Option<CallResult> {
    // The lease is checked once more before the order is sent: this thread may have waited, or
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
            client
                .order_load(address, &version, fencing, CALL_TIMEOUT)
                .await
        }
        OrderKind::Unload => {
            let fencing = order.fencing;
            client
                .order_unload(address, &version, fencing, CALL_TIMEOUT)
                .await
        }
    };
    shared.metrics.rollout_orders.inc();
    match sent {
        Ok(()) => None,
        Err(OrderError::Refused {
            status: NO_ROOM, ..
        }) => Some(CallResult::Full(model, order.engine.clone())),
        Err(e) => {
            tracing::warn!("rollout: the order to {} failed: {e}", order.engine);
            None
        }
    }
}

/// Takes a load slot from the weight store; without one in the settings, loads need no slot.
fn request_slot(shared: &Shared, version: &VersionId) -> Result<(), Span> {
    let Some(address) = shared.settings.platform.weights else {
        return Ok(());
    };
    match WeightStore::new(address).take_slot(version) {
        Ok(_) => Ok(()),
        Err(PlatformError::Later(pause)) => Err(pause),
        Err(PlatformError::Failed(reason)) => {
            tracing::warn!("rollout: the weight store gave no answer: {reason}");
            Err(SLOT_RETRY_PAUSE)
        }
    }
}
