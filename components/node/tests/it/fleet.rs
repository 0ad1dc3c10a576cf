//! Daemons that know each other, over real sockets.

use standins::platform::PlatformConfig;

use super::harness::{Harness, ask, json_of};

// A host is replaced while the store is down, and the new daemon comes up with nothing.
// Users would be refused by it until the store is back; it must have the catalogue from
// its peers.
#[test]
fn can_start_from_a_peer_with_the_store_down() {
    let mut harness = Harness::with_daemons(&PlatformConfig::default(), 2);
    harness
        .platform
        .store
        .set_faults(|faults| faults.down = true);
    harness.add_daemon(2);
    let answer = harness
        .post(2, "/v1/chat/completions")
        .json(&ask("answers", false, 5));
    let answer = answer.unwrap().send().unwrap();
    assert!(answer.is_success());
    let (_, _, reader) = answer.split();
    assert!(json_of(reader)["choices"][0]["message"]["content"].is_string());
}
