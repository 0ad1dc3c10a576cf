//! Pins, tokens and home lookups: a session keeps its version.

use std::collections::BTreeSet;

use sessions::SessionKey;
use sessions::choice::PinDecision;
use sessions::homes::{HOMES_PER_SESSION, Member, homes};
use sessions::lookup::{Lookup, LookupStep};
use sessions::pins::{MAX_PINS, Message, Pin, Pins, Reply};
use sessions::token::{Key, Keys, Pinned, Sent, read_header};
use types::prelude::*;

const NOW: Time = Time(60_000_000);

fn version(name: &str) -> VersionId {
    format!("brief@{name}").parse().unwrap()
}

fn key(name: &str) -> SessionKey {
    SessionKey {
        customer: "kochi".parse().unwrap(),
        offer: "brief-writer".parse().unwrap(),
        session: name.parse().unwrap(),
    }
}

fn members(count: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        id: format!("d{n}").parse().unwrap(),
        domain: format!("z{}", n % 4).parse().unwrap(),
        run: Incarnation(1),
    };
    (0..count).map(member).collect()
}

fn pin(name: &str, to: &str, age: u64, replaces: Option<&str>) -> Pin {
    Pin {
        key: key(name),
        version: version(to),
        revision: Revision(1),
        age: Span::from_secs(age),
        replaces: replaces.map(version),
    }
}

fn keys(names: &[&str]) -> Keys {
    let keys = names.iter().map(|name| {
        let secret = format!("secret of the key {name}");
        Key::new(name, secret.as_bytes()).unwrap()
    });
    Keys::new(keys.collect()).unwrap()
}

fn pinned() -> Pinned {
    Pinned {
        session: "s1".parse().unwrap(),
        offer: "brief-writer".parse().unwrap(),
        version: version("a"),
        revision: Revision(1),
        start: WallTime(5),
    }
}

#[test]
fn can_keep_a_pin_while_its_version_may_run() {
    let permitted = BTreeSet::from([version("a"), version("b")]);
    let [kept, not_permitted] = ["a", "c"].map(version);
    let pin = |name| PinDecision::decide(Some((name, Revision(1))), &permitted, Revision(7));
    assert_eq!(pin(&kept), PinDecision::Kept(&kept));
    assert_eq!(pin(&not_permitted), PinDecision::Moved(&not_permitted));
    assert_eq!(
        PinDecision::decide(None, &permitted, Revision(7)),
        PinDecision::New
    );
}

// A version was just added and a session began on it. A daemon whose catalogue lags must not treat
// the unknown version as withdrawn, or the session would change its version there and change back
// at the next daemon.
#[test]
fn errors_of_a_lagging_catalogue_do_not_move_sessions() {
    let permitted = BTreeSet::from([version("a")]);
    let unknown = version("c");
    let at = |revision| PinDecision::decide(Some((&unknown, Revision(8))), &permitted, revision);
    assert_eq!(at(Revision(7)), PinDecision::CatalogueBehind);
    assert_eq!(at(Revision(8)), PinDecision::Moved(&unknown));
}

#[test]
fn can_verify_tokens_during_key_rotation() {
    let customer: CustomerId = "kochi".parse().unwrap();
    let token = keys(&["k1"]).sign(&customer, &pinned());
    let rotated = keys(&["k2", "k1"]);
    let sent = read_header(&rotated, &customer, Some(&token));
    assert_eq!(sent, Sent::Token(pinned()));
    assert_eq!(
        read_header(&keys(&["k2"]), &customer, Some(&token)),
        Sent::Nothing
    );
}

// A customer must not get a version that it is not permitted to use with a forged token, or with
// another customer's: a token must be bound to its customer and verified before it is read.
#[test]
fn errors_of_forged_tokens_are_found() {
    let customer: CustomerId = "kochi".parse().unwrap();
    let other: CustomerId = "clasach".parse().unwrap();
    let keys = keys(&["k1"]);
    let token = keys.sign(&customer, &pinned());
    assert_eq!(keys.verify(&other, &token), None);
    for at in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(bytes).unwrap();
        assert_eq!(keys.verify(&customer, &forged), None, "byte {at}");
    }
    let long = format!("{token}{}", "A".repeat(2_000));
    assert_eq!(keys.verify(&customer, &long), None);
}

// If both homes of a session were in one failure domain, the session would change its version when
// that domain is lost.
#[test]
fn can_hold_pins_in_two_failure_domains() {
    let members = members(9);
    for n in 0..500 {
        let homes = homes(key(&format!("s{n}")).hash64(), &members);
        assert_eq!(homes.len(), HOMES_PER_SESSION);
        let domains = homes.iter().map(|id| {
            let member = members.iter().find(|member| member.id == *id);
            member.unwrap().domain.clone()
        });
        assert_eq!(domains.collect::<BTreeSet<_>>().len(), HOMES_PER_SESSION);
    }
}

// Two daemons, or the two sides of a network partition, pinned the same session. If its homes kept
// different pins, its version would change from call to call.
#[test]
fn can_agree_on_the_older_pin_in_any_order() {
    let pins = [pin("s", "a", 5, None), pin("s", "b", 9, None)];
    for order in [[0, 1], [1, 0]] {
        let mut table = Pins::new(Span::from_secs(600));
        for i in order {
            table.pin(pins[i].clone(), NOW);
        }
        assert_eq!(table.get(&key("s"), NOW).unwrap().version, version("b"));
        table.pin(pin("s", "c", 0, Some("b")), NOW);
        assert_eq!(table.get(&key("s"), NOW).unwrap().version, version("c"));
        table.pin(pin("s", "d", 0, Some("b")), NOW);
        assert_eq!(table.get(&key("s"), NOW).unwrap().version, version("c"));
    }
}

#[test]
fn can_bound_the_table_and_drop_idle_pins() {
    let mut table = Pins::new(Span::from_secs(600));
    for n in 0..MAX_PINS + 10 {
        table.pin(pin(&format!("s{n}"), "a", 0, None), NOW + Span(n as u64));
    }
    assert_eq!(table.len(), MAX_PINS);
    assert_eq!(table.get(&key("s0"), NOW), None);
    table.expire(NOW + Span::from_secs(700), usize::MAX);
    assert!(table.is_empty());
}

// A new home must be sent the pins of its sessions when a daemon is replaced. Otherwise a session
// would change its version although its homes never failed at the same time.
#[test]
fn can_follow_changes_of_members() {
    let before = members(9);
    let mut tables: Vec<Pins> = before
        .iter()
        .map(|_| Pins::new(Span::from_secs(600)))
        .collect();
    let at = |id: &DaemonId| before.iter().position(|member| member.id == *id).unwrap();
    for table in &mut tables {
        table.set_members(before.clone());
        table.rehome(&before[0].id, NOW);
    }
    for n in 0..1_000 {
        let name = format!("s{n}");
        for home in homes(key(&name).hash64(), &before) {
            tables[at(&home)].pin(pin(&name, "a", 1, None), NOW);
        }
    }
    // The daemons leave one after the other; the other home still holds the pins of each.
    let mut remaining = before.clone();
    while remaining.len() > HOMES_PER_SESSION {
        remaining.remove(0);
        for index in 0..before.len() {
            tables[index].set_members(remaining.clone());
            if !remaining.contains(&before[index]) {
                continue;
            }
            for _ in 0..10 {
                for (to, pin) in tables[index].rehome(&before[index].id, NOW) {
                    tables[at(&to)].pin(pin, NOW);
                }
            }
        }
        for n in 0..1_000 {
            let key = key(&format!("s{n}"));
            for home in homes(key.hash64(), &remaining) {
                assert!(tables[at(&home)].get(&key, NOW).is_some(), "{key:?}");
            }
        }
    }
}

// The daemons restart in turn, under the same names and too quickly to be seen as gone. A restarted
// home has lost its pins; if the other home saw the same member names as before and did not send
// them again, the session would change its version.
#[test]
fn can_refill_a_home_that_restarted_under_its_name() {
    let before = members(9);
    let key = key("s1");
    let [first, second] = homes(key.hash64(), &before).try_into().unwrap();
    let mut table = Pins::new(Span::from_secs(600));
    table.set_members(before.clone());
    table.rehome(&second, NOW);
    table.pin(pin("s1", "a", 1, None), NOW);
    let mut after = before;
    let home = after.iter_mut().find(|member| member.id == first);
    home.unwrap().run = Incarnation(2);
    table.set_members(after);
    let to_send = table.rehome(&second, NOW);
    assert_eq!(to_send.len(), 1);
    assert_eq!((&to_send[0].0, &to_send[0].1.key), (&first, &key));
}

// In a fleet of hundreds a daemon is replaced every half minute. If each change restarted the sweep
// over the pins, the last pins would never be reached and their sessions would change their
// version.
#[test]
fn can_move_pins_while_members_keep_changing() {
    let all = members(9);
    let (own, changing) = (&all[1].id, all[8].clone());
    let mut table = Pins::new(Span::from_secs(600));
    table.set_members(all.clone());
    table.rehome(own, NOW);
    let names: Vec<_> = (0..2_000).map(|n| format!("s{n}")).collect();
    for name in &names {
        table.pin(pin(name, "a", 1, None), NOW);
    }
    let without_first = &all[1..];
    let mut sent = BTreeSet::new();
    for tick in 0..40 {
        let mut present = without_first.to_vec();
        present.retain(|member| tick / 2 % 2 == 0 || *member != changing);
        table.set_members(present);
        let to_send = table.rehome(own, NOW);
        sent.extend(to_send.into_iter().map(|(home, pin)| (pin.key, home)));
    }
    for name in &names {
        let key = key(name);
        let before = homes(key.hash64(), &all);
        let after = homes(key.hash64(), without_first);
        let gained = after
            .into_iter()
            .filter(|id| !before.contains(id) && id != own);
        for home in gained.filter(|id| *id != changing.id) {
            assert!(sent.contains(&(key.clone(), home)), "{key:?}");
        }
    }
}

#[test]
fn can_find_a_pin_at_either_home() {
    let homes: Vec<DaemonId> = ["d1", "d2"].map(|id| id.parse().unwrap()).to_vec();
    let (mut lookup, messages) = Lookup::start(key("s"), homes.clone());
    assert_eq!(messages.len(), 2);
    assert_eq!(
        lookup.on_reply(&homes[0], Some(Reply::Missing)),
        LookupStep::Wait
    );
    let held = pin("s", "a", 3, None);
    let step = lookup.on_reply(&homes[1], Some(Reply::Found(held.clone())));
    assert_eq!(step, LookupStep::Found(held, vec![homes[0].clone()]));
    let (mut lookup, _) = Lookup::start(key("s"), homes.clone());
    let wrong = Reply::Found(pin("other", "a", 3, None));
    assert_eq!(lookup.on_reply(&homes[0], Some(wrong)), LookupStep::Wait);
    assert_eq!(
        lookup.on_reply(&homes[1], None),
        LookupStep::New(Vec::new())
    );
    let mut table = Pins::new(Span::from_secs(600));
    let reply = table.answer(lookup.pin(version("a"), Revision(1), None), NOW);
    assert!(matches!(reply, Reply::Found(_)));
    assert_eq!(table.answer(Message::Ask(key("x")), NOW), Reply::Missing);
}
