//! Shutdown with streams open.

use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use types::prelude::*;

use super::harness::{Harness, chat_body, events};

const STREAMS: usize = 200;

#[test]
fn can_leave_without_cutting_a_stream() {
    // A daemon is shut down while 200 callers read streams. Each stream that had begun must reach
    // its end marker before the daemon stops.
    let engine = EngineConfig {
        token_time: Span::from_millis(10),
        ..EngineConfig::default()
    };
    let mut harness = Harness::start(&PlatformConfig {
        engine,
        ..PlatformConfig::default()
    });
    let (begun, all_begun) = flume::bounded(STREAMS);
    let threads: Vec<_> = (0..STREAMS)
        .map(|_| {
            let begun = begun.clone();
            let builder = harness.post(0, "/v1/chat/completions");
            std::thread::spawn(move || {
                let sent = builder
                    .json(&chat_body("answers", true, 40))
                    .unwrap()
                    .send()
                    .unwrap();
                let (status, _, reader) = sent.split();
                assert_eq!(status.as_u16(), 200);
                begun.send(()).unwrap();
                events(reader)
            })
        })
        .collect();
    for _ in 0..STREAMS {
        all_begun.recv().unwrap();
    }
    let cut = harness.nodes.remove(0).shutdown();
    let answers = threads.into_iter().map(|thread| thread.join().unwrap());
    let whole = answers.filter(|events| events.last().is_some_and(|last| last == "[DONE]"));
    assert_eq!((whole.count(), cut), (STREAMS, 0));
}
