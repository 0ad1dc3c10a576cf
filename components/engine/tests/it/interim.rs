//! Interim answers before the final one.

use bytes::Bytes;
use engine::ChatAnswer;

use crate::raw::*;

/// An interim answer was passed on as the answer, with an empty body.
#[test]
fn can_skip_interim_answers() {
    for interim in ["100 Continue", "102 Processing", "103 Early Hints"] {
        let interim = format!("HTTP/1.1 {interim}\r\nlink: x\r\n\r\n");
        let answer = whole("HTTP/1.1 200 OK", "x-a: b", COMPLETION);
        let address = answering(interim.repeat(2) + &answer);
        let answer = plain(address, Bytes::new()).unwrap();
        assert_eq!((answer.status, &*answer.body), (200, COMPLETION.as_bytes()));
        let answer = chat(address, false).unwrap();
        assert!(matches!(answer, ChatAnswer::Whole(answer) if answer.text == "a"));
    }
}

/// Interim answers without end would hold their callers.
#[test]
fn errors_on_interim_answers_without_end() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
    let address = answering(interim);
    assert!(plain(address, Bytes::new()).is_err());
    assert!(chat(address, false).is_err());
    assert!(load_report(address).is_err());
}
