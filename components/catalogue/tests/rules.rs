//! Tests of the catalogue file, the rules and the catalogue that daemons hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use catalogue::check::{self, Entries};
use catalogue::edit::change::{self, ChangeError, RolloutChange};
use catalogue::entry::{Body, Entry, Gate, KeyHash, Permit, Protocol, RolloutState, VersionState};
use catalogue::file;
use catalogue::record::{Catalogue, EncodedRecord, Record};
use catalogue::table::TOMBSTONE_REVISIONS;
use types::prelude::*;

const KOCHI: &str = include_str!("../../../examples/kochi.yaml");
const CLASACH: &str = include_str!("../../../examples/clasach.yaml");

fn kochi() -> BTreeMap<EntryName, Arc<Entry>> {
    file::parse("kochi.yaml", KOCHI).unwrap()
}

fn name(text: &str) -> EntryName {
    EntryName::new(text).unwrap()
}

#[test]
fn can_parse_and_write_both_examples() {
    for text in [KOCHI, CLASACH] {
        let entries = file::parse("example", text).unwrap_or_else(|e| panic!("{e}"));
        let written = file::write(&entries).unwrap();
        assert_eq!(file::parse("written", &written).unwrap(), entries);
        let dev = CustomerId::new("dev").unwrap();
        for entry in entries.values() {
            match &entry.body {
                Body::Offer(offer) => assert_eq!(offer.customers[&dev], offer.candidates),
                Body::Service(s) if s.protocol == Protocol::Plain => {
                    assert!(s.customers.contains(&dev));
                }
                _ => {}
            }
        }
        let Body::Customer(dev) = &entries[&name("customers/dev")].body else {
            panic!("dev is no customer");
        };
        assert_eq!(dev.key_sha256, [KeyHash::from_key("dev-customer")]);
    }
}

/// If an error in a file did not give the entry, the key and what is expected, an operator
/// would have to search for the mistake by hand while the roll-out waits.
#[test]
fn errors_name_file_entry_key_and_expectation() {
    let cases = [
        ("entries: [1]", "f.yaml: entries: invalid type"),
        ("entries:\n  a b: {}", "a name holds ' '"),
        (
            "entries:\n  x: {kind: salon, owner: o}",
            "x: kind: salon; expected customer, service",
        ),
        ("entries:\n  x: {kind: model}", "x: owner: missing"),
        (
            "entries:\n  customers/a: {kind: customer, owner: o, key_sha256: [abc]}",
            "customers/a: key_sha256[0]: \"abc\" is not an id",
        ),
        (
            "entries:\n  models/a: {kind: model, owner: o, service: s, versions: {}, more: 1}",
            "models/a: more: unknown field `more`",
        ),
        (
            "entries:\n  models/a: {kind: model, owner: o, service: s, versions: {}}",
            "models/a: versions: 0 items; expected 1 to 64",
        ),
    ];
    for (text, expected) in cases {
        let error = file::parse("f.yaml", text).unwrap_err().to_string();
        assert!(error.starts_with("f.yaml"), "{error}");
        assert!(error.contains(expected), "{error} lacks {expected}");
    }
}

/// Changes one entry of the Kochi example and returns the problems, one a line.
fn problems_after(entry: &str, change: impl FnOnce(&mut Entry)) -> String {
    let entries = kochi().into_iter().zip(1..);
    let mut entries: Entries = entries
        .map(|((name, entry), revision)| (name, (Revision(revision), entry)))
        .collect();
    let (revision, held) = entries.get_mut(&name(entry)).unwrap();
    *revision = Revision(100);
    change(Arc::make_mut(held));
    let problems = check::all(&entries).into_iter();
    problems.map(|problem| format!("{problem}\n")).collect()
}

/// Expands to the body of an entry of this kind.
macro_rules! body {
    ($entry:expr, $kind:ident) => {{
        let Body::$kind(body) = &mut $entry.body else {
            panic!("another kind");
        };
        body
    }};
}

#[test]
fn errors_for_broken_rules_within_an_entry() {
    let text = problems_after("models/tariff-large", |entry| {
        let rollout = body!(entry, Model).rollout.as_mut().unwrap();
        rollout.steps = vec![Share::new(0.5).unwrap(), Share::new(0.2).unwrap()];
        rollout.step = 2;
        rollout.to = "2026-05".parse().unwrap();
    });
    assert!(
        text.contains("rollout.steps: steps that do not rise to 1"),
        "{text}"
    );
    assert!(text.contains("rollout.step: 2; expected 0 to 1"), "{text}");
    assert!(
        text.contains("rollout.to: 2026-05, which is withdrawn"),
        "{text}"
    );
    let text = problems_after("offers/price-answers", |entry| {
        let offer = body!(entry, Offer);
        offer.weights.cost = f64::NAN;
        offer.deadline = Span::ZERO;
        let permit: Permit = "tariff-huge".parse().unwrap();
        offer.customers.values_mut().next().unwrap().push(permit);
    });
    assert!(text.contains("weights: [NaN"), "{text}");
    assert!(text.contains("deadline: 0s"), "{text}");
    assert!(
        text.contains("tariff-huge, which is no candidate"),
        "{text}"
    );
    let text = problems_after("services/tariff-llm", |entry| {
        let service = body!(entry, Service);
        service.upstreams = (0..513).map(|_| service.upstreams[0].clone()).collect();
        service.upstreams[0].slots = 0;
    });
    assert!(
        text.contains("upstreams: 513 items; expected 0 to 512"),
        "{text}"
    );
    assert!(text.contains("upstreams[0].slots: 0"), "{text}");
}

/// A customer may use a version that no model has, two customers share a key, or two services
/// an upstream. Each entry is valid alone, but together they would misroute requests.
#[test]
fn errors_across_entries_name_the_later_edit() {
    let text = problems_after("offers/price-answers", |entry| {
        let offer = body!(entry, Offer);
        offer
            .candidates
            .push("tariff-large@2030-01".parse().unwrap());
        offer.candidates.push("tariff-huge".parse().unwrap());
        let stranger = CustomerId::new("stranger").unwrap();
        offer.customers.insert(stranger, offer.candidates.clone());
    });
    assert!(
        text.contains("tariff-large@2030-01, which the model does not have"),
        "{text}"
    );
    assert!(
        text.contains("tariff-huge, whose model does not exist"),
        "{text}"
    );
    assert!(text.contains("stranger, which does not exist"), "{text}");
    let text = problems_after("customers/audit-cell", |entry| {
        body!(entry, Customer).key_sha256 = vec![KeyHash::from_key("dev-customer")];
    });
    assert!(
        text.starts_with("customers/audit-cell: key_sha256[0]: a key that"),
        "{text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
    let text = problems_after("services/counter-app", |entry| {
        let service = body!(entry, Service);
        service.upstreams[1].id = service.upstreams[0].id.clone();
        service.upstreams[2].id = UpstreamId::new("tariff-llm-kaloor-1").unwrap();
    });
    assert!(text.contains("counter-app: upstreams[1].id"), "{text}");
    assert!(text.contains("counter-app: upstreams[2].id"), "{text}");
    assert!(!text.contains("services/tariff-llm:"), "{text}");
    let text = problems_after("models/tariff-tags", |entry| {
        body!(entry, Model).service = name("services/counter-app");
    });
    assert!(
        text.contains("service: services/counter-app, which is no engine service"),
        "{text}"
    );
}

fn version(text: &str) -> VersionName {
    text.parse().unwrap()
}

#[test]
fn can_advance_a_rollout_and_withdraw_a_version() {
    let entry = kochi().remove(&name("models/tariff-large")).unwrap();
    let state = |entry: &Entry| {
        let Body::Model(model) = &entry.body else {
            panic!("another kind");
        };
        let rollout = model.rollout.clone().unwrap();
        (rollout.step, rollout.state, rollout.share().get())
    };
    let begin = RolloutChange::Begin {
        from: version("2026-08"),
        to: version("2026-11"),
        steps: vec![Share::new(0.1).unwrap(), Share::ALL],
        gate: Gate::default(),
    };
    let busy = change::rollout(&entry, begin.clone());
    assert_eq!(busy, Err(ChangeError::Busy(version("2026-11"))));
    let entry = change::rollout(&entry, RolloutChange::Abort).unwrap();
    assert_eq!(state(&entry), (0, RolloutState::Aborted, 0.0));
    let mut entry = change::rollout(&entry, begin).unwrap();
    let expected = [
        (RolloutChange::Pause, (0, RolloutState::Paused, 0.1)),
        (RolloutChange::Resume, (0, RolloutState::Running, 0.1)),
        (RolloutChange::Advance, (1, RolloutState::Running, 1.0)),
    ];
    for (next, expected) in expected {
        entry = change::rollout(&entry, next).unwrap();
        assert_eq!(state(&entry), expected);
    }
    let done = change::rollout(&entry, RolloutChange::Advance).unwrap();
    assert_eq!(state(&done), (1, RolloutState::Done, 1.0));
    assert_eq!(
        change::rollout(&done, RolloutChange::Advance),
        Err(ChangeError::NoRollout)
    );
    let withdrawn =
        change::set_state(&entry, &version("2026-11"), VersionState::Withdrawn).unwrap();
    assert_eq!(state(&withdrawn).1, RolloutState::Aborted);
    let unknown = change::set_state(&entry, &version("2030"), VersionState::Offered);
    assert_eq!(unknown, Err(ChangeError::NoVersion(version("2030"))));
}

fn held(revision: u64, entry: Option<Arc<Entry>>) -> EncodedRecord {
    EncodedRecord::new(Arc::new(Record {
        revision: Revision(revision),
        edit_id: EditId(u128::from(revision)),
        author: OperatorName::new("op").unwrap(),
        at: WallTime(0),
        entry,
        history: Vec::new(),
    }))
}

/// An entry was removed so long ago that its tombstone is gone. An older copy from a paused daemon
/// or an old store must not bring it back. A daemon that was paused since then must drop it,
/// although there is no tombstone for it.
#[test]
fn errors_removed_entry_stays_removed_without_its_tombstone() {
    let entry = kochi().remove(&name("customers/dev"));
    let dev = name("customers/dev");
    let other = name("customers/other");
    let distant_revision = TOMBSTONE_REVISIONS + 10;
    let mut catalogue = Catalogue::default();
    catalogue.apply_all([(dev.clone(), held(1, entry.clone()))], None);
    let mut paused = catalogue.clone();
    assert_eq!(catalogue.entries().count(), 1);
    catalogue.apply_all([(dev.clone(), held(2, None))], None);
    assert!(
        catalogue.record(&dev).is_some(),
        "the marker is kept at first"
    );
    catalogue.apply_all(
        [(other.clone(), held(distant_revision, None))],
        Some(Revision(distant_revision)),
    );
    assert!(
        catalogue.record(&dev).is_none(),
        "the marker goes in the end"
    );
    catalogue.apply_all([(dev.clone(), held(1, entry))], None);
    assert_eq!(catalogue.entries().count(), 0);
    assert!(paused.revision() < catalogue.tombstone_floor());
    paused.remove_missing(&[other.clone()].into(), catalogue.revision());
    paused.apply_all(
        [(other, held(distant_revision, None))],
        Some(catalogue.revision()),
    );
    assert_eq!(paused.entries().count(), 0);
    assert_eq!(paused.digest(), catalogue.digest());
}
