//! Edits of a model's entry by operators and the driver.

use std::collections::BTreeMap;

use catalogue::entry::{Model, Price, RolloutState, Version, VersionState};
use rollout::edit::{Action, EditError, Start, act, finish, set_state};
use types::prelude::*;

fn version_name(text: &str) -> VersionName {
    text.parse().unwrap()
}

fn model(versions: &[(&str, VersionState)]) -> Model {
    let price = Price {
        input: Cost(1),
        output: Cost(2),
    };
    let version = |state| Version {
        state,
        price,
        expected_quality: BTreeMap::new(),
    };
    let versions = versions.iter();
    Model {
        service: "services/engines".parse().unwrap(),
        versions: versions
            .map(|(v, state)| (version_name(v), version(*state)))
            .collect(),
        rollout: None,
    }
}

fn start(to: &str) -> Action {
    Action::Start(Start {
        to: version_name(to),
        from: None,
        steps: None,
        gate: None,
    })
}

#[test]
fn can_complete_a_roll_out() {
    let first = model(&[("1", VersionState::Offered), ("2", VersionState::Withdrawn)]);
    let mut now = act(&first, &start("2")).unwrap();
    assert_eq!(
        now.versions[&version_name("2")].state,
        VersionState::Offered
    );
    assert_eq!(now.rollout.as_ref().unwrap().from, version_name("1"));
    now = act(&now, &Action::Pause).unwrap();
    now = act(&now, &Action::Advance).unwrap();
    now = act(&now, &Action::Resume).unwrap();
    assert_eq!(now.rollout.as_ref().unwrap().share(), Share::clamped(0.05));
    for _ in 0..3 {
        now = act(&now, &Action::Advance).unwrap();
    }
    assert_eq!(act(&now, &Action::Advance), Err(EditError::LastStep));
    let done = finish(&now).unwrap();
    assert_eq!(
        done.versions[&version_name("1")].state,
        VersionState::Draining
    );
    assert_eq!(done.rollout.unwrap().share(), Share::ALL);
}

#[test]
fn can_abort_and_drain_the_new_version() {
    let first = model(&[("1", VersionState::Offered), ("2", VersionState::Withdrawn)]);
    let now = act(&first, &start("2")).unwrap();
    let aborted = act(&now, &Action::Abort).unwrap();
    assert_eq!(
        aborted.versions[&version_name("2")].state,
        VersionState::Draining
    );
    assert_eq!(aborted.rollout.as_ref().unwrap().share(), Share::NONE);
    assert!(act(&aborted, &start("2")).is_ok());
}

/// An operator withdraws a bad version in the middle of its roll-out, and then the driver ends the
/// roll-out. If that set the withdrawn version to draining, its sessions would get bad answers
/// again.
#[test]
fn withdrawn_version_stays_withdrawn_when_the_roll_out_ends() {
    let first = model(&[("1", VersionState::Offered), ("2", VersionState::Withdrawn)]);
    let now = act(&first, &start("2")).unwrap();
    let withdrawn = set_state(&now, &version_name("2"), VersionState::Withdrawn).unwrap();
    assert_eq!(
        withdrawn.rollout.as_ref().unwrap().state,
        RolloutState::Aborted
    );

    let old_gone = set_state(&now, &version_name("1"), VersionState::Withdrawn).unwrap();
    let done = finish(&old_gone).unwrap();
    assert_eq!(
        done.versions[&version_name("1")].state,
        VersionState::Withdrawn
    );
}

#[test]
fn rejects_invalid_actions() {
    let two = model(&[("1", VersionState::Offered), ("2", VersionState::Offered)]);
    let three = model(&[
        ("1", VersionState::Offered),
        ("2", VersionState::Offered),
        ("3", VersionState::Offered),
    ]);
    let running = act(&two, &start("2")).unwrap();
    assert_eq!(
        act(&running, &start("1")),
        Err(EditError::InProgress(version_name("2")))
    );
    assert_eq!(act(&two, &start("9")), Err(EditError::AmbiguousFrom(2)));
    assert_eq!(act(&three, &start("3")), Err(EditError::AmbiguousFrom(2)));
    assert_eq!(act(&two, &Action::Pause), Err(EditError::NoRollout));
    let resume = act(&running, &Action::Resume).unwrap_err();
    assert_eq!(
        resume.to_string(),
        "the roll-out is running; this needs one that is paused"
    );
    let with = |from: Option<&str>, steps: &[f64]| {
        let steps = steps.iter().map(|s| Share::clamped(*s)).collect();
        let (to, from) = (version_name("2"), from.map(version_name));
        act(
            &two,
            &Action::Start(Start {
                to,
                from,
                steps: Some(steps),
                gate: None,
            }),
        )
    };
    assert_eq!(
        with(Some("2"), &[1.0]),
        Err(EditError::SameVersion(version_name("2")))
    );
    assert_eq!(
        with(Some("9"), &[1.0]),
        Err(EditError::UnknownVersion(version_name("9")))
    );
    for steps in [
        &[][..],
        &[0.5],
        &[0.0, 1.0],
        &[0.5, 0.5, 1.0],
        &[0.6, 0.5, 1.0],
    ] {
        assert_eq!(with(None, steps), Err(EditError::BadSteps), "{steps:?}");
    }
}
