//! Upstreams that stop within the head of an answer, and close or reset the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use routes::Retry;

use crate::endings::open_event;
use crate::harness::*;
use crate::tunnels::cut_off;

const RESUMABLE: Retry = Retry::Stream { resumable: true };
const NOT_RESUMABLE: Retry = Retry::Stream { resumable: false };
const FORMS: [Form; 3] = [Form::Sized, Form::Chunked, Form::UntilClose];
const ENDS: [End; 2] = [End::Close, End::Reset];

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Sized,
    Chunked,
    UntilClose,
}

/// How the connection of a cut answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

impl Form {
    /// Encodes a head whose last field is the one that marks the end of the body.
    fn head(self, id: &str, sure: u8, body_len: usize) -> String {
        let fields = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\nsure: {sure}\r\n");
        match self {
            Self::Sized => format!("{fields}Content-Length: {body_len}\r\n\r\n"),
            Self::Chunked => format!("{fields}Transfer-Encoding: chunked\r\n\r\n"),
            Self::UntilClose => format!("{fields}\r\n"),
        }
    }

    fn body(self, content: &str) -> String {
        match self {
            Self::Chunked => format!("{:x}\r\n{content}\r\n{END}", content.len()),
            Self::Sized | Self::UntilClose => content.to_owned(),
        }
    }
}

/// Places to cut a head at: in and after the status line, each field and the blank line.
fn cuts(head: &str) -> Vec<usize> {
    let lines = head.match_indices("\r\n").map(|(at, _)| at + 2);
    let line_starts = lines.filter(|start| *start < head.len());
    let within = line_starts.flat_map(|start| {
        let line = head[start..].find("\r\n").unwrap_or_default();
        [start, start + 2, start + line - line / 4, start + line + 1]
    });
    let mut cuts = within.filter(|at| *at < head.len()).collect::<Vec<_>>();
    cuts.push(5);
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// How an answer is cut.
#[derive(Debug, Clone, Copy)]
struct Cut {
    form: Form,
    at: usize,
    end: End,
}

/// Every way to cut an answer's head.
fn all_cuts() -> Vec<Cut> {
    let of_form = |form: Form| {
        let places = cuts(&form.head("r1", 90, 5));
        ENDS.into_iter().flat_map(move |end| {
            places
                .clone()
                .into_iter()
                .map(move |at| Cut { form, at, end })
        })
    };
    FORMS.into_iter().flat_map(of_form).collect()
}

/// An upstream that cuts the first answer that it owes a request of this kind, and gives all others
/// whole.
struct Upstream {
    address: SocketAddr,
    cut: Arc<AtomicUsize>,
}

impl Upstream {
    fn start(
        cut: Cut,
        is_cut: impl Fn(&str) -> bool + Send + Sync + 'static,
        content: impl Fn(&str) -> (u8, String) + Send + Sync + 'static,
    ) -> Self {
        let cuts = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&cuts);
        let address = upstream(move |served| {
            while let Some(request) = served.request() {
                let (sure, content) = content(&request);
                let head = cut.form.head(id_of(&request), sure, content.len());
                if is_cut(&request) && counted.fetch_add(1, Ordering::SeqCst) == 0 {
                    served.write(&head[..cut.at]);
                    if cut.end == End::Reset {
                        served.reset();
                    }
                    return;
                }
                served.write(&head);
                served.write(&cut.form.body(&content));
                if cut.form == Form::UntilClose {
                    return;
                }
            }
        });
        Self { address, cut: cuts }
    }

    /// One that cuts its first answer.
    fn cutting_first(cut: Cut, content: &str) -> Self {
        let content = content.to_owned();
        Self::start(cut, |_| true, move |_| (90, content.clone()))
    }

    fn has_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst) > 0
    }
}

fn events(count: u64) -> String {
    (1..=count).map(open_event).collect()
}

fn assert_is_no_success(text: &str, cut: Cut) {
    assert_eq!(status_of(text), 502, "{cut:?}: {text}");
    assert_eq!(field(text, "signed"), None, "{cut:?}: {text}");
}

/// A caller would take an empty or short body for the whole answer.
#[test]
fn an_answer_cut_in_its_head_is_no_success() {
    for cut in all_cuts() {
        for (retry, content) in [
            (Retry::Never, "world".to_owned()),
            (NOT_RESUMABLE, events(2)),
        ] {
            let upstream = Upstream::cutting_first(cut, &content);
            let running = serving(retry, &[upstream.address]);
            assert_is_no_success(&running.caller().ask("r1"), cut);
            assert!(upstream.has_cut(), "{cut:?}");
        }
    }
}

#[test]
fn an_answer_cut_in_its_head_is_retried() {
    for cut in all_cuts() {
        let cutting = Upstream::cutting_first(cut, "world");
        let running = serving(Retry::Any, &[cutting.address; 2]);
        let text = running.caller().ask("r1");
        assert!(text.ends_with("world"), "{cut:?}: {text}");
        assert_eq!(cutting.cut.load(Ordering::SeqCst), 2, "{cut:?}");
    }
}

#[test]
fn a_stream_cut_in_its_head_is_retried() {
    for cut in all_cuts() {
        let cutting = Upstream::cutting_first(cut, &events(3));
        let running = serving(RESUMABLE, &[cutting.address; 2]);
        let text = running.caller().ask("r1");
        assert_eq!(events_of(&text), [1, 2, 3], "{cut:?}: {text}");
        assert!(text.ends_with(END), "{cut:?}: {text}");
        assert_eq!(cutting.cut.load(Ordering::SeqCst), 2, "{cut:?}");
    }
}

/// The second answer on a kept connection is cut.
#[test]
fn an_answer_cut_on_a_kept_connection_is_retried() {
    for cut in all_cuts() {
        if cut.form == Form::UntilClose {
            continue;
        }
        let is_second = |request: &str| id_of(request) == "r2";
        let cutting = Upstream::start(cut, is_second, |_| (90, "world".to_owned()));
        let running = serving(Retry::Any, &[cutting.address]);
        let mut caller = running.caller();
        for id in ["r1", "r2"] {
            let text = caller.ask(id);
            assert!(text.ends_with("world"), "{cut:?} {id}: {text}");
        }
        assert!(cutting.has_cut(), "{cut:?}");
    }
}

/// The head of a draft's answer or of the larger model's is cut; a caller gets one of them whole.
#[test]
fn a_draft_or_its_replacement_cut_in_its_head_is_replaced() {
    for cut in all_cuts() {
        for model in ["small", "large"] {
            let is_cut = move |request: &str| field(request, "model") == Some(model);
            let content = |request: &str| match field(request, "model") {
                Some("large") => (80, events(4)),
                _ => (10, events(2)),
            };
            let cutting = Upstream::start(cut, is_cut, content);
            let running = serving(RESUMABLE, &[cutting.address; 2]);
            let text = running.caller().ask("r1");
            let count = events_of(&text).len() as u64;
            assert!([2, 4].contains(&count), "{cut:?} {model}: {text}");
            assert!(text.ends_with(END), "{cut:?} {model}: {text}");
            assert!(cutting.has_cut(), "{cut:?} {model}");
        }
    }
}

/// The peer at the other end of a tunnel passes on how the upstream's connection ended.
#[test]
fn an_answer_cut_in_its_head_behind_a_tunnel_is_no_success() {
    for cut in all_cuts() {
        for (retry, content) in [
            (Retry::Never, "world".to_owned()),
            (NOT_RESUMABLE, events(2)),
        ] {
            let upstream = Upstream::cutting_first(cut, &content);
            let (_kept, refusing) = refusing_address();
            let (running, _peer) = cut_off(retry, refusing, upstream.address);
            assert_is_no_success(&running.caller().ask("r1"), cut);
            assert!(upstream.has_cut(), "{cut:?}");
        }
    }
}
