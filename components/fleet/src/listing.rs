//! Conversion of the store's keys and events to changes of the mirror.

use keyvalue::{KeyValue, ModRevision, WatchEvent};
use mirror::{Change, Listing, Revision};

pub(crate) fn revision(store: ModRevision) -> Revision {
    Revision(u64::try_from(store.0).unwrap_or_default())
}

pub(crate) fn listing(at: ModRevision, items: Vec<KeyValue>) -> Listing {
    let items = items.into_iter().map(|item| Change {
        revision: revision(item.mod_revision),
        key: item.key,
        value: Some(item.value),
    });
    let mut items = items.collect::<Vec<_>>();
    items.sort_by(|a, b| a.key.cmp(&b.key));
    Listing {
        at: revision(at),
        items,
    }
}

pub(crate) fn change(event: WatchEvent) -> Change {
    Change {
        revision: revision(event.revision),
        key: event.key,
        value: event.value.map(|item| item.value),
    }
}
