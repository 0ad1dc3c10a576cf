//! Calls of engines and of the weight store for the control thread, which never blocks.

use std::sync::Arc;

use engine::{Client, OrderError};
use externals::{PlatformError, WeightStore};
use types::prelude::*;

use crate::event::Event;
use crate::shared::Shared;
use crate::systems::rollout::{Call, Called};
use crate::traffic::pool::Pool;
use ::rollout::{Order, OrderKind};

/// Calls under way at once.
const MAX_CALLS: usize = 16;
const TIMEOUT: Span = Span::from_secs(2);
/// The weight store is asked again after, when it did not say.
const ASK_AGAIN: Span = Span::from_secs(2);
/// Status of an engine that has no room for another version.
const NO_ROOM: u16 = 507;

/// Makes calls on threads of its own.
pub(crate) struct Calling {
    shared: Arc<Shared>,
    client: Client,
    pool: Pool,
}

impl Calling {
    /// No calls yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            client: Client::default(),
            pool: Pool::new(MAX_CALLS),
        }
    }

    /// Makes a call; how it ended comes as an event. One that finds no thread free is
    /// dropped: a driver wants the same again at its next tick.
    pub(crate) fn call(&self, call: Call) {
        let (shared, client) = (self.shared.clone(), self.client.clone());
        let slot = match &call {
            Call::Slot(version) => Some(version.model.clone()),
            Call::Read(..) | Call::Order(..) => None,
        };
        let run = self.pool.run(move || {
            if let Some(called) = make(&shared, &client, call) {
                let _ = shared.events.send(Event::Called(called));
            }
        });
        if let (Err(_), Some(model)) = (run, slot) {
            let answer = Called::Slot(model, Err(ASK_AGAIN));
            let _ = self.shared.events.try_send(Event::Called(answer));
        }
    }

    /// Runs other work of the control thread that may block.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        self.pool.run(job).is_ok()
    }
}

fn make(shared: &Shared, client: &Client, call: Call) -> Option<Called> {
    match call {
        Call::Read(model, id, address) => match client.load_report(address, TIMEOUT) {
            Ok(report) => Some(Called::Report(model, id, report)),
            Err(e) => {
                tracing::debug!("rollout: {id} gave no load report: {e}");
                None
            }
        },
        Call::Order(model, order, address) => send(shared, client, model, &order, address),
        Call::Slot(version) => {
            let answer = slot(shared, &version);
            Some(Called::Slot(version.model, answer))
        }
    }
}

fn send(
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
        OrderKind::Load => client.order_load(address, &version, order.fencing, TIMEOUT),
        OrderKind::Unload => client.order_unload(address, &version, order.fencing, TIMEOUT),
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
