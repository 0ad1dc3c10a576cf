//! Bills an answer before its end is sent.

use flume::bounded;
use ledger::{Bill, BillId, Item};
use requests::life::BillDetails;
use types::prelude::*;

use crate::event::Event;
use crate::shared::Shared;

/// The control thread has ended: no bill can be recorded and no answer may end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotBilled;

/// Records a bill and waits until it is safe; the answer's end may be sent only then.
///
/// Were the end sent first, the loss of this host in the next seconds would leave the caller
/// with a whole answer that is never billed.
pub(crate) async fn bill(shared: &Shared, bill: Bill) -> Result<(), NotBilled> {
    let (end, released) = bounded(1);
    let event = Event::Bill(Box::new(bill), end);
    let sent = shared.events.send_async(event).await;
    sent.map_err(|_| NotBilled)?;
    released.recv_async().await.map_err(|_| NotBilled)
}

/// Creates the bill of an answer that ends now.
pub(crate) fn bill_of(
    shared: &Shared,
    details: BillDetails,
    version: Option<&VersionId>,
    cost: Cost,
    attempts: usize,
) -> Bill {
    let item = match version.cloned() {
        Some(version) => Item::Version {
            offer: details.entry,
            version,
        },
        None => Item::Service(details.entry),
    };
    Bill {
        id: BillId {
            customer: details.customer,
            request: details.request,
        },
        item,
        input: details.usage.input,
        output: details.usage.output,
        cost,
        at: shared.clock.wall(),
        attempts: u16::try_from(attempts).unwrap_or(u16::MAX),
    }
}
