//! Snapshots copied from daemon to daemon while the store changes.

use bytes::Bytes;
use fleet::{DownloadStep, SnapshotDownload, SnapshotServer};
use mirror::{Change, Listing, Mirror, Revision, SyncReply, SyncRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

const KEYS: usize = 9;
/// Three of these values fill a page.
const VALUE_BYTES: usize = 50_000;

fn change(rng: &mut StdRng, revision: u64) -> Change {
    let key = rng.random_range(0..KEYS);
    let is_deleted = rng.random_bool(0.2);
    let value = vec![revision as u8; VALUE_BYTES];
    Change {
        revision: Revision(revision),
        key: format!("k{key}"),
        value: (!is_deleted).then(|| Bytes::from(value)),
    }
}

fn contents(mirror: &Mirror) -> Vec<Change> {
    mirror.after(None).collect()
}

/// Downloads a snapshot while the store changes before each page; returns it and the time after.
fn copy(
    source: &mut Mirror,
    snapshots: &mut SnapshotServer,
    rng: &mut StdRng,
    mut now: Time,
    name: &str,
) -> (Listing, Time) {
    let from = ([127, 0, 0, 1], 1).into();
    let mut download = SnapshotDownload::new(from);
    let receiver = DaemonId::new(name).expect("a name");
    let mut page_after = None;
    loop {
        let at = source.at();
        let next = Revision(at.0 + 1);
        let changes = vec![change(rng, next.0)];
        source.apply(at, next, changes).expect("in order");
        now = now + Span::from_millis(rng.random_range(0..400));
        let request = SyncRequest {
            held: Revision::default(),
            page_after: page_after.take(),
        };
        let answer = snapshots.answer(now, &receiver, &request, source);
        let body = answer.expect("it fits").expect("a free place");
        let SyncReply::Page {
            at,
            items,
            has_more,
        } = SyncReply::decode(&body).expect("its own")
        else {
            panic!("not a page");
        };
        match download.take(at, items, has_more) {
            DownloadStep::More(last) => page_after = Some(last),
            DownloadStep::Complete(listing) => return (listing, now),
        }
    }
}

#[test]
fn a_snapshot_of_pages_from_different_moments_misses_no_change() {
    // Encoded pages are cached briefly, since encoding them takes long, so a page may be older than
    // the snapshot's revision. A change between the two must not be lost: a revoked key or an
    // upstream that left would stay at that daemon for good.
    for seed in 0..200 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let items = (0..KEYS as u64).map(|n| Change {
            revision: Revision(n + 1),
            key: format!("k{n}"),
            value: Some(Bytes::from(vec![0; VALUE_BYTES])),
        });
        let mut source = Mirror::default();
        source.take_listing(Listing {
            at: Revision(KEYS as u64),
            items: items.collect(),
        });
        let mut snapshots = SnapshotServer::default();
        let mut now = Time::ZERO;
        for name in ["a", "b", "c", "d"] {
            let (listing, after) = copy(&mut source, &mut snapshots, rng, now, name);
            now = after;
            let mut receiver = Mirror::default();
            receiver.take_listing(listing);
            let news = source.since(receiver.at()).expect("the giver remembers");
            let at = receiver.at();
            receiver.apply(at, source.at(), news).expect("no gap");
            assert_eq!(contents(&receiver), contents(&source), "seed {seed}");
        }
    }
}

/// A peer that restarted between two pages with an older copy made a snapshot lack known changes.
#[test]
fn a_snapshot_is_no_newer_than_its_oldest_page() {
    let item = |key: &str, revision| Change {
        revision: Revision(revision),
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"x")),
    };
    let mut download = SnapshotDownload::new(([127, 0, 0, 1], 1).into());
    let first = download.take(Revision(9), vec![item("a", 2)], true);
    assert!(matches!(first, DownloadStep::More(_)));
    let DownloadStep::Complete(listing) = download.take(Revision(7), vec![item("b", 3)], false)
    else {
        panic!("two pages");
    };
    let mut copied = Mirror::default();
    copied.take_listing(listing);
    let missed = copied.apply(Revision(7), Revision(9), vec![item("b", 8)]);
    assert_eq!(missed, Ok(vec![item("b", 8)]));
}
