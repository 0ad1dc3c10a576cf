//! Lines of logs that explain one request, or all requests of one content.
//!
//! The request's own lines say which upstreams it went to and when. Around them belong what
//! the host that served it believed: its configuration, its sight of the store and of those
//! upstreams, roll-outs, and its own life.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value, json};

/// Lines of the host itself that explain a request if they lie at its time.
const ABOUT_THE_HOST: [&str; 7] = [
    "config:",
    "daemon:",
    "peers: caught up",
    "readiness:",
    "rollouts:",
    "store:",
    "traffic:",
];
/// Fields that every line has; printed apart from the others.
const COMMON: [&str; 3] = ["timestamp", "level", "message"];

/// A line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Line {
    host: String,
    timestamp: String,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line: a JSON object, perhaps behind a time and a host's name. Others are not
    /// of a daemon and passed over.
    pub(crate) fn parse(host: &str, text: &str) -> Option<Self> {
        let at = text.find('{')?;
        let mut fields = serde_json::from_str::<Map<String, Value>>(&text[at..]).ok()?;
        let named = text[..at].split_whitespace().nth(1);
        let take = |fields: &mut Map<String, Value>, name| {
            let value = fields.remove(name)?;
            value.as_str().map(str::to_owned)
        };
        let timestamp = take(&mut fields, "timestamp")?;
        let message = take(&mut fields, "message")?;
        Some(Self {
            host: named.unwrap_or(host).to_owned(),
            timestamp,
            message,
            fields,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Whether it speaks of an id: a request's, or that of a content, which stands in the lines
    /// of all requests for it and of each upstream that ended under it.
    fn names(&self, id: &str) -> bool {
        let is_own = ["id", "content"]
            .iter()
            .any(|name| self.text(name) == Some(id));
        let under = self.text("under").unwrap_or_default().split("; ");
        let mut under = under.filter_map(|under| under.split(' ').next());
        is_own || under.any(|content| content == id)
    }

    pub(crate) fn to_json(&self) -> Value {
        let mut value = json!({
            "host": self.host,
            "timestamp": self.timestamp,
            "message": self.message,
        });
        if let Value::Object(all) = &mut value {
            all.extend(self.fields.clone());
        }
        value
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.timestamp, self.host, self.message)?;
        for (name, value) in &self.fields {
            let is_common = COMMON.contains(&name.as_str());
            match value {
                _ if is_common => {}
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Ids of the upstreams that a request's line names, such as in
/// `u1 v1 model 0 (wait 1 work 40): failed at 12ms; u2 v1: answered at 40ms`.
fn upstreams_of(line: &Line) -> impl Iterator<Item = &str> {
    let tries = line.text("tries").unwrap_or_default().split("; ");
    tries.filter_map(|tried| tried.split_whitespace().next())
}

/// Lines that explain a request, in order of time.
pub(crate) fn story(id: &str, lines: Vec<Line>) -> Vec<Line> {
    let own = lines.iter().filter(|line| line.names(id));
    let own = own.cloned().collect::<Vec<_>>();
    let hosts = own.iter().map(|line| line.host.as_str());
    let hosts = hosts.collect::<BTreeSet<_>>();
    let upstreams = own.iter().flat_map(upstreams_of).collect::<BTreeSet<_>>();
    let last = own.iter().map(|line| line.timestamp.as_str()).max();
    let Some(last) = last.map(str::to_owned) else {
        return Vec::new();
    };
    let explains = |line: &Line| {
        let is_own = line.names(id);
        let is_here = hosts.contains(line.host.as_str()) && line.timestamp <= last;
        let about_host = ABOUT_THE_HOST
            .iter()
            .any(|start| line.message.starts_with(start));
        let upstream = line.text("upstream");
        let about_upstream = upstream.is_some_and(|upstream| upstreams.contains(upstream));
        is_own || (is_here && (about_host || about_upstream))
    };
    let mut story = lines
        .iter()
        .filter(|line| explains(line))
        .cloned()
        .collect::<Vec<_>>();
    // Timestamps of one form sort as texts.
    story.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    story
}
