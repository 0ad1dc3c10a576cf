//! Reading, checking and writing the catalogue as a YAML file.
//!
//! ```yaml
//! entries:
//!   customers/acme:
//!     kind: customer
//!     owner: licensing
//!     key_sha256: [...]
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_norway::{Mapping, Value};
use types::prelude::*;

use crate::check::{self, Entries, Problem};
use crate::entry::{Body, Entry};

/// Kinds of entry, as listed in error messages.
const KINDS: &str = "customer, service, model or offer";

/// Why a file does not contain a valid catalogue.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The text is not YAML or is not a map with the key `entries`.
    #[error("{file}: {source}; expected a map `entries:` from names to entries")]
    Outline {
        /// Name of the file.
        file: String,
        /// The parser's error, with line and column.
        source: serde_norway::Error,
    },
    /// Entries cannot be read or break rules.
    #[error("{file}: {} problems\n{}", problems.len(), lines(problems))]
    Problems {
        /// Name of the file.
        file: String,
        /// All problems found.
        problems: Vec<Problem>,
    },
}

fn lines(problems: &[Problem]) -> String {
    let lines = problems.iter().map(|problem| format!("  {problem}"));
    lines.collect::<Vec<_>>().join("\n")
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    entries: BTreeMap<EntryName, Value>,
}

#[derive(serde::Serialize)]
struct DocumentRef<'a> {
    entries: &'a BTreeMap<EntryName, Arc<Entry>>,
}

/// Parses and checks the text of a file; `file` is its name in error messages.
///
/// # Errors
/// When the text is not YAML, or entries cannot be read or break rules. The error names the
/// file and, for each problem, the entry, the key and what is expected.
pub fn parse(file: &str, text: &str) -> Result<BTreeMap<EntryName, Arc<Entry>>, FileError> {
    let document: Document = serde_norway::from_str(text).map_err(|source| FileError::Outline {
        file: file.to_owned(),
        source,
    })?;
    let mut problems = Vec::new();
    let mut entries = Entries::new();
    for (name, value) in document.entries {
        match parse_entry(&name, value) {
            Ok(entry) => {
                entries.insert(name, (Revision(0), Arc::new(entry)));
            }
            Err(problem) => problems.push(problem),
        }
    }
    // While some entries could not be read, rules across entries would report false problems.
    if problems.is_empty() {
        problems = check::all(&entries);
    }
    if !problems.is_empty() {
        let file = file.to_owned();
        return Err(FileError::Problems { file, problems });
    }
    Ok(entries
        .into_iter()
        .map(|(name, (_, entry))| (name, entry))
        .collect())
}

/// Writes entries as YAML in the form that [`parse`] reads.
///
/// # Errors
/// When an entry cannot be written as YAML.
pub fn write(entries: &BTreeMap<EntryName, Arc<Entry>>) -> Result<String, serde_norway::Error> {
    serde_norway::to_string(&DocumentRef { entries })
}

/// Reads one entry from its YAML value.
///
/// # Errors
/// When a key is missing, unknown or has a wrong value; the problem names the key and what is
/// expected there.
pub fn parse_entry(name: &EntryName, value: Value) -> Result<Entry, Problem> {
    let Value::Mapping(mut map) = value else {
        return Err(problem(
            name,
            "",
            "no map",
            "keys kind, owner and those of the kind",
        ));
    };
    let kind = take_string(name, &mut map, "kind", KINDS)?;
    let owner = take_string(
        name,
        &mut map,
        "owner",
        "the team that answers for the entry",
    )?;
    let owner = OperatorName::new(&owner)
        .map_err(|e| problem(name, "owner", &e.to_string(), "a short name"))?;
    let rest = Value::Mapping(map);
    let body = match kind.as_str() {
        "customer" => Body::Customer(deserialize_body(name, rest)?),
        "service" => Body::Service(deserialize_body(name, rest)?),
        "model" => Body::Model(deserialize_body(name, rest)?),
        "offer" => Body::Offer(deserialize_body(name, rest)?),
        other => return Err(problem(name, "kind", other, KINDS)),
    };
    Ok(Entry { owner, body })
}

fn take_string(
    name: &EntryName,
    map: &mut Mapping,
    key: &str,
    expected: &str,
) -> Result<String, Problem> {
    match map.remove(key) {
        Some(Value::String(text)) => Ok(text),
        Some(other) => Err(problem(name, key, &format!("{other:?}"), expected)),
        None => Err(problem(name, key, "missing", expected)),
    }
}

fn deserialize_body<T: DeserializeOwned>(name: &EntryName, value: Value) -> Result<T, Problem> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let key = e.path().to_string();
        let key = if key == "." { String::new() } else { key };
        problem(
            name,
            &key,
            &e.inner().to_string(),
            "what docs/OPERATIONS.md says of this kind",
        )
    })
}

fn problem(name: &EntryName, key: &str, found: &str, expected: &str) -> Problem {
    Problem {
        entry: name.clone(),
        key: key.to_owned(),
        found: found.to_owned(),
        expected: expected.to_owned(),
    }
}
