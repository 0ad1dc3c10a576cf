//! Whether fleets of 6 to 300 daemons keep limits, beside kills, cuts, joins and lost messages.

use types::prelude::*;

use crate::world::{Day, Got, play};

const FLEETS: [usize; 4] = [6, 20, 88, 300];

/// Fleets of all sizes with a load that grows with them.
fn fleets(change: impl Fn(&mut Day)) -> impl Iterator<Item = Day> {
    FLEETS.into_iter().flat_map(move |daemons| {
        let mut day = Day {
            daemons,
            requests_per_s: 60.0 + 3.0 * daemons as f64,
            ..Day::default()
        };
        change(&mut day);
        let base = day.seed;
        (0..3).map(move |n| Day {
            seed: base * 100 + n,
            ..day.clone()
        })
    })
}

fn limited(day: &Day) -> Vec<(f64, Got)> {
    let got = play(day);
    let limits = day.limits.iter().zip(got);
    limits.filter_map(|(l, got)| Some(((*l)?, got))).collect()
}

/// Checks all requests, those by daemons that no answer had told included.
fn check_all(day: &Day) {
    for (limit, got) in limited(day) {
        let allowed = Got::allowed(limit);
        assert!(got.worst <= allowed, "{limit}/s: {got:?}, {day:?}");
    }
}

/// Checks requests by daemons that an answer had told.
fn check_told(day: &Day) {
    for (limit, got) in limited(day) {
        let allowed = Got::allowed(limit);
        assert!(got.worst_told <= allowed, "{limit}/s: {got:?}, {day:?}");
    }
}

#[test]
fn a_limit_is_kept_by_fleets_of_any_size() {
    fleets(|_| {}).for_each(|day| check_all(&day));
}

#[test]
fn a_limit_far_below_or_above_one_a_second_is_kept() {
    let limits = || vec![Some(0.05), Some(0.5), Some(9.0), Some(40.0), None];
    fleets(|day| day.limits = limits()).for_each(|day| check_all(&day));
}

#[test]
fn limits_of_all_upstreams_are_kept_and_used() {
    let limits = || (0..12).map(|n| Some(2.0 + f64::from(n) / 10.0)).collect();
    for day in fleets(|day| day.limits = limits()) {
        check_all(&day);
        let seconds = (day.named.1 - day.named.0 - 3) as f64;
        let (allowed, used) = limited(&day).iter().fold((0.0, 0), |sum, (limit, got)| {
            (sum.0 + limit * seconds, sum.1 + got.limited)
        });
        let share = used as f64 / allowed;
        assert!(share > 0.7, "{share} of what the limits allow, {day:?}");
    }
}

#[test]
fn a_limit_is_kept_though_messages_between_daemons_are_lost() {
    fleets(|day| day.lost = 0.5).for_each(|day| check_all(&day));
}

#[test]
fn a_limit_is_kept_by_both_sides_of_a_cut() {
    // Each side takes over the part of the other and sends all that the limit allows.
    fleets(|day| day.cut = Some((3, 38))).for_each(|day| check_told(&day));
    fleets(|day| day.cut = Some((8, 30))).for_each(|day| check_all(&day));
}

#[test]
fn a_limit_is_kept_while_daemons_are_killed_and_start_again() {
    // A daemon that starts knows nobody and takes the whole limit for its own.
    let change = |day: &mut Day| day.kill_every = Some(Span::from_millis(1_300));
    fleets(change).for_each(|day| check_told(&day));
}

#[test]
fn a_limit_is_kept_after_all_daemons_start_at_once() {
    fleets(|day| day.killed_all_at = Some(14)).for_each(|day| check_told(&day));
}

#[test]
fn a_limit_is_kept_while_the_fleet_grows() {
    let change = |day: &mut Day| day.join_every = Some(Span::from_millis(800));
    fleets(change).for_each(|day| check_told(&day));
}

#[test]
fn an_upstream_whose_limit_ended_does_not_stay_idle() {
    for day in fleets(|day| day.limits = vec![Some(1.3), Some(0.05), None]) {
        for (limit, got) in limited(&day) {
            let idle = got.idle_after.expect("requests after its end");
            assert!(idle < Span::from_secs(9), "{limit}/s: {idle}, {day:?}");
        }
    }
}
