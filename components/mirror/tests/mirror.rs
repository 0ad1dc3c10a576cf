//! Tests of the copy of the store's keys and of its synchronisation.

use bytes::Bytes;
use mirror::{Change, Listing, Mirror, Revision, SyncReply, SyncRequest};

fn put(revision: u64, key: &str, value: &str) -> Change {
    Change {
        revision: Revision(revision),
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn delete(revision: u64, key: &str) -> Change {
    Change {
        revision: Revision(revision),
        key: key.to_owned(),
        value: None,
    }
}

fn mirror_of(at: u64, items: Vec<Change>) -> Mirror {
    let mut mirror = Mirror::default();
    let at = Revision(at);
    mirror.take_listing(Listing { at, items });
    mirror
}

fn value(mirror: &Mirror, key: &str) -> Option<String> {
    let (_, value) = mirror.get(key)?;
    Some(String::from_utf8_lossy(value).into_owned())
}

#[test]
fn a_stale_watch_does_not_revert_changes() {
    // A daemon gets version 3 of a configuration from a peer, and then its own slow watch delivers
    // version 2 and a key deleted since. The old configuration must not replace the new one.
    let mut mirror = mirror_of(1, vec![put(1, "config", "1")]);
    let newer = vec![
        put(2, "config", "2"),
        put(3, "gone", "x"),
        delete(4, "gone"),
        put(5, "config", "3"),
    ];
    mirror
        .apply(Revision(1), Revision(5), newer)
        .expect("connects");
    let stale = vec![put(2, "config", "2"), put(3, "gone", "x")];
    let new_changes = mirror
        .apply(Revision(1), Revision(3), stale)
        .expect("connects");
    assert_eq!(new_changes, []);
    assert_eq!(value(&mirror, "config").as_deref(), Some("3"));
    assert_eq!(value(&mirror, "gone"), None);
    assert_eq!(mirror.at(), Revision(5));
}

#[test]
fn an_older_listing_changes_nothing() {
    let mut mirror = mirror_of(9, vec![put(9, "config", "9")]);
    let at = Revision(5);
    let items = vec![put(5, "config", "5")];
    assert_eq!(mirror.take_listing(Listing { at, items }), []);
    assert_eq!(value(&mirror, "config").as_deref(), Some("9"));
}

#[test]
fn a_listing_after_a_gap_deletes_keys_that_are_not_listed() {
    let mut mirror = mirror_of(2, vec![put(1, "a", "1"), put(2, "b", "1")]);
    let at = Revision(8);
    let items = vec![put(7, "b", "2"), put(8, "c", "1")];
    let new_changes = mirror.take_listing(Listing { at, items });
    assert_eq!(
        new_changes,
        [delete(8, "a"), put(7, "b", "2"), put(8, "c", "1")]
    );
    assert_eq!(mirror.prefixed("").count(), 2);
}

#[test]
fn changes_after_a_gap_are_rejected() {
    let mut mirror = mirror_of(2, vec![]);
    let result = mirror.apply(Revision(4), Revision(5), vec![put(5, "a", "1")]);
    assert!(result.is_err());
    assert_eq!(mirror.at(), Revision(2));
}

/// A later page of a listing held a newer state of an upstream than the listing's revision. An
/// older change overwrote it, and the leaving upstream became ready again.
#[test]
fn a_later_page_is_not_undone_by_an_older_change() {
    let mut mirror = mirror_of(100, vec![put(115, "upstream", "leaving")]);
    let older = vec![put(105, "upstream", "ready")];
    let new_changes = mirror.apply(Revision(100), Revision(110), older);
    assert_eq!(new_changes, Ok(vec![]));
    assert_eq!(value(&mirror, "upstream").as_deref(), Some("leaving"));
    // A peer that lacks the change gets the key's current value.
    let missing = mirror.since(Revision(100)).expect("logged");
    let [change] = &missing[..] else {
        panic!("{missing:?}")
    };
    assert_eq!(change.value.as_deref(), Some(&b"leaving"[..]));
}

/// A daemon sent a peer the differences between its own copy and a listing as if they were all the
/// changes. The peer, whose copy differed from the daemon's, lacked a configuration permanently.
#[test]
fn a_listing_is_not_sent_as_changes() {
    // A later page of the first listing already held the configuration of revision 115.
    let mut mirror = mirror_of(100, vec![put(90, "a", "1"), put(115, "config", "2")]);
    let at = Revision(120);
    let items = vec![put(118, "a", "2"), put(115, "config", "2")];
    let new_changes = mirror.take_listing(Listing { at, items });
    assert_eq!(new_changes, [put(118, "a", "2")]);
    assert_eq!(SyncReply::news(&mirror, Revision(100)), None);
    let newer = vec![put(121, "config", "3")];
    let new_changes = mirror.apply(at, Revision(121), newer.clone());
    assert_eq!(new_changes, Ok(newer.clone()));
    let news = SyncReply::Changes {
        after: at,
        at: Revision(121),
        changes: newer,
    };
    assert_eq!(SyncReply::news(&mirror, at), Some(news));
}

fn request(held: u64, page_after: Option<&str>) -> SyncRequest {
    SyncRequest {
        held: Revision(held),
        page_after: page_after.map(str::to_owned),
    }
}

#[test]
fn a_copy_is_sent_page_by_page_while_keys_change() {
    // 12,000 upstreams exceed the limit on one message between daemons. If peers could not send
    // them, each daemon would have to read them from the store.
    let key = |n: u64| format!("upstream/{n:05}");
    let value = "v".repeat(300);
    let items = (1..=12_000).map(|n| put(n, &key(n), &value));
    let mut ahead = mirror_of(12_000, items.collect());
    let mut items = Vec::new();
    let mut copied_at = None;
    let mut pages = 0;
    let mut after = None;
    loop {
        let reply = SyncReply::to(&request(0, after.as_deref()), &ahead);
        let bytes = reply.encode().expect("a page is small");
        let SyncReply::Page {
            at,
            items: page,
            has_more,
        } = SyncReply::decode(&bytes).expect("our own")
        else {
            panic!("a page was asked for");
        };
        copied_at.get_or_insert(at);
        after = page.last().map(|item| item.key.clone());
        items.extend(page);
        pages += 1;
        if pages == 2 {
            let deletion = delete(12_001, &key(3));
            let new = put(12_002, &key(20_000), "new");
            ahead
                .apply(Revision(12_000), Revision(12_002), vec![deletion, new])
                .expect("connects");
        }
        if !has_more {
            break;
        }
    }
    assert!(pages > 10, "{pages}");
    let at = copied_at.expect("a page");
    let mut copy = Mirror::default();
    copy.take_listing(Listing { at, items });
    let rest = SyncReply::to(&request(at.0, None), &ahead);
    let SyncReply::Changes { after, at, changes } = rest else {
        panic!("the copy is just behind");
    };
    copy.apply(after, at, changes).expect("connects");
    assert_eq!(all_items(&copy), all_items(&ahead));
}

fn all_items(mirror: &Mirror) -> Vec<Change> {
    mirror.after(None).collect()
}

#[test]
fn a_peer_gets_only_the_changes_that_it_lacks() {
    let mut ahead = mirror_of(2, vec![put(2, "a", "1")]);
    ahead
        .apply(
            Revision(2),
            Revision(4),
            vec![put(3, "b", "1"), delete(4, "a")],
        )
        .expect("connects");
    let reply = SyncReply::to(&request(3, None), &ahead);
    let expected = SyncReply::Changes {
        after: Revision(3),
        at: Revision(4),
        changes: vec![delete(4, "a")],
    };
    assert_eq!(reply, expected);
    let too_far_behind = SyncReply::to(&request(1, None), &ahead);
    assert!(matches!(too_far_behind, SyncReply::Page { .. }));
    let up_to_date = SyncReply::to(&request(4, None), &ahead);
    assert_eq!(up_to_date, SyncReply::Nothing);
    let bytes = reply.encode().expect("small");
    assert_eq!(SyncReply::decode(&bytes), Ok(reply));
}

#[test]
fn a_peer_far_behind_gets_a_listing_once_the_log_is_full() {
    let mut ahead = mirror_of(1, vec![]);
    for n in 2..2_000 {
        let changes = vec![put(n, "key", "v")];
        ahead
            .apply(Revision(n - 1), Revision(n), changes)
            .expect("connects");
    }
    assert!(ahead.since(Revision(1)).is_none());
    let newer = ahead.since(Revision(1_990)).expect("near");
    assert_eq!(
        newer,
        [put(1_999, "key", "v")],
        "each key once, as it is now"
    );
}

#[test]
fn a_storm_of_large_configurations_is_one_value_for_a_peer() {
    // Operators write forty versions of a configuration of some hundred KB. If the log held values,
    // every daemon would keep all of them, and a lagging peer would get them in a message that is
    // too large.
    let mut ahead = mirror_of(1, vec![]);
    let route =
        |n: usize| format!("{{\"name\":\"r-{n}\",\"prefix\":\"/{n}/\",\"timeout\":20000}},");
    for n in 2..42 {
        let text = (0..4_000)
            .map(|route_n| route(route_n + n as usize))
            .collect::<String>();
        let changes = vec![put(n, "config", &text)];
        ahead
            .apply(Revision(n - 1), Revision(n), changes)
            .expect("connects");
    }
    let reply = SyncReply::to(&request(1, None), &ahead);
    assert!(matches!(&reply, SyncReply::Changes { changes, .. } if changes.len() == 1));
    let bytes = reply.encode().expect("small enough");
    let whole = ahead.get("config").expect("held").1.len();
    assert!(bytes.len() * 5 < whole, "{} of {whole}", bytes.len());
    assert_eq!(SyncReply::decode(&bytes), Ok(reply));
    let bomb = decompression_bomb();
    assert!(SyncReply::decode(&bomb).is_err());
}

/// A few KB that expand to 64 MB.
fn decompression_bomb() -> Vec<u8> {
    use std::io::Write;
    let mut packed = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::fast());
    let zeros = vec![0xff; 1 << 20];
    (0..64).for_each(|_| packed.write_all(&zeros).expect("to memory"));
    packed.finish().expect("to memory")
}
