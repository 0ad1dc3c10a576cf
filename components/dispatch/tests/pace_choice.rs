//! Tests of the effect of a known pace on single choices.

use std::sync::Arc;

use dispatch::{
    Pace, PaceReport, PaceUpdate, Permit, PlacingPolicy, PromptPart, ReporterKey, Requirements,
    UpdateVersion, UpstreamIndex, UpstreamKey, Upstreams, instance_key,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

fn upstreams(uses_pace: bool) -> Upstreams {
    let mut upstreams = Upstreams::new(PlacingPolicy {
        uses_pace,
        ..PlacingPolicy::default()
    });
    let listed = (0..12).map(|id| {
        Arc::new(Upstream {
            id: UpstreamId::new(&format!("u{id}")).expect("a name"),
            started_at: None,
            service: Arc::from("model"),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("east").expect("a name"),
            version: Arc::from("v1"),
            slots: 8,
            state: UpstreamState::Ready,
            warm_up_remaining: Span::ZERO,
        })
    });
    upstreams.configure(Time::ZERO, &listed.collect::<Vec<_>>());
    upstreams
}

/// Has eight other daemons report a pace.
fn report(upstreams: &mut Upstreams, now: Time, id: &UpstreamId, pace: f64) {
    for daemon in 0..8 {
        let key = UpstreamKey(instance_key(id, None).0);
        let version = UpdateVersion {
            run: Incarnation(1),
            clock_ms: now.since(Time::ZERO).as_millis(),
        };
        let update = PaceUpdate {
            reporter: ReporterKey(daemon),
            version,
            reports: vec![PaceReport::new(key, Pace::new(pace), 4.0)],
        };
        upstreams.merge_paces(now, &update);
    }
    upstreams.refresh_paces(now);
}

fn choice(upstreams: &Upstreams, now: Time, shared: u32, seed: u64) -> UpstreamIndex {
    choice_for(upstreams, now, [1, 2], shared, seed)
}

fn choice_for(
    upstreams: &Upstreams,
    now: Time,
    ids: [u64; 2],
    shared: u32,
    seed: u64,
) -> UpstreamIndex {
    let part = |id, tokens| PromptPart { id, tokens };
    let requirements = Requirements {
        service: &Arc::from("model"),
        model: Some(&Arc::from("small")),
        parts: &[part(ids[0], shared), part(ids[1], 300)],
        prompt_tokens: shared + 300,
        permit: &Permit::Any,
        isolated: false,
        exclude: &[],
        local_domain: &FailureDomain::new("east").expect("a name"),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let choice = upstreams.choose(now, &requirements, &mut rng);
    choice.expect("all are listed").index
}

// A small difference would otherwise make another engine prefill the shared part again.
#[test]
fn a_prompt_stays_where_it_is_cached_unless_the_engine_is_clearly_slower() {
    let mut upstreams = upstreams(true);
    let at = |secs| Time::ZERO + Span::from_secs(secs);
    let home = choice(&upstreams, at(0), 300, 1);
    let id = upstreams.spec(home).expect("listed").id.clone();
    let stays = |upstreams: &Upstreams, now: Time, shared: u32| {
        (2..20).all(|seed| choice(upstreams, now, shared, seed) == home)
    };
    report(&mut upstreams, at(1), &id, 0.8);
    assert!(stays(&upstreams, at(1), 300));
    report(&mut upstreams, at(2), &id, 0.3);
    let pace = upstreams.pace(UpstreamKey(instance_key(&id, None).0));
    assert!(pace < Pace::new(0.5), "{pace:?}");
    // Prefilling a long shared part elsewhere takes longer than a slow engine's prefill of the rest.
    assert!(stays(&upstreams, at(2), 5_000));
    let leaves = (2..20).filter(|seed| choice(&upstreams, at(2), 300, *seed) != home);
    assert!(leaves.count() > 9);
}

// Operators switch the use of paces off to get the former choices; a report that still counted would
// keep requests away from an engine.
#[test]
fn a_policy_that_ignores_pace_chooses_as_without_reports() {
    let at = |secs| Time::ZERO + Span::from_secs(secs);
    let unaware = upstreams(true);
    let [mut ignoring, mut aware] = [false, true].map(upstreams);
    for (number, pace) in (0..12).zip([0.3, 1.0, 3.0, 0.5].into_iter().cycle()) {
        let id = UpstreamId::new(&format!("u{number}")).expect("a name");
        report(&mut ignoring, at(number), &id, pace);
        report(&mut aware, at(number), &id, pace);
    }
    let choices = |upstreams: &Upstreams| {
        // Each prompt has its own preferred engine.
        let of_seed = |seed| choice_for(upstreams, at(11), [2 * seed, 2 * seed + 1], 300, seed);
        (0..400).map(of_seed).collect::<Vec<_>>()
    };
    assert_eq!(choices(&ignoring), choices(&unaware));
    assert_ne!(choices(&aware), choices(&unaware));
}
