//! Differences between two configurations, by what they do.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use routes::{ApiKey, Configuration, Route, Service};
use serde::Serialize;

use crate::finding::{Entry, Field, Finding, Place, Problem};
use crate::listed::{Listed, MAX_DIFFERENCES};
use crate::shown;
use crate::unreachable::{owners, shadowing};

/// What differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The configuration as a whole.
    Configuration,
    /// A route.
    Route,
    /// A service.
    Service,
    /// A customer.
    Customer,
}

/// How it differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It is in the proposed configuration only.
    Added,
    /// It is in the configuration in force only.
    Removed,
    /// It is in both, with other values.
    Changed,
}

/// A field with its values; keys of customers are shown by their first characters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: &'static str,
    /// Value in force, if there is one.
    pub in_force: Option<String>,
    /// Proposed value, if there is one.
    pub proposed: Option<String>,
}

/// An entry that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind of the entry.
    pub subject: Subject,
    /// Its name; empty for the configuration as a whole.
    pub name: String,
    /// How it differs.
    pub change: Change,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
}

/// Lists what the proposed configuration changes of the one in force.
#[must_use]
pub fn differences(in_force: &Configuration, proposed: &Configuration) -> Listed<Difference> {
    let mut found = Listed::default();
    let whole = |configuration| Entries::from([((Arc::from(""), 0), whole_entry(configuration))]);
    compare(
        Subject::Configuration,
        &whole(in_force),
        &whole(proposed),
        &mut found,
    );
    compare(
        Subject::Route,
        &route_entries(in_force),
        &route_entries(proposed),
        &mut found,
    );
    compare(
        Subject::Service,
        &service_entries(in_force),
        &service_entries(proposed),
        &mut found,
    );
    compare(
        Subject::Customer,
        &customer_entries(in_force),
        &customer_entries(proposed),
        &mut found,
    );
    found
}

/// Whether daemons would keep the configuration in force: they load another one only if its version
/// is higher.
#[must_use]
pub fn not_newer(
    in_force: &Configuration,
    proposed: &Configuration,
    differences: &Listed<Difference>,
) -> Option<Finding> {
    let is_older = proposed.version <= in_force.version && !differences.is_empty();
    is_older.then_some(Finding {
        place: Place {
            entry: Entry::Configuration,
            field: Some(Field::Version),
        },
        problem: Problem::NotNewer {
            version: proposed.version,
            in_force: in_force.version,
        },
    })
}

/// Entries by name and, for entries with the same name, their number.
type Entries<'a> = BTreeMap<(Arc<str>, usize), EntryFields<'a>>;

/// The fields of an entry that have a value, and the keys that belong to it.
#[derive(Debug, Default, PartialEq)]
struct EntryFields<'a> {
    fields: Vec<(&'static str, Option<String>)>,
    keys: BTreeSet<&'a ApiKey>,
}

impl EntryFields<'_> {
    fn get(&self, field: &str) -> Option<String> {
        let mut fields = self.fields.iter();
        fields.find(|(name, _)| *name == field)?.1.clone()
    }
}

fn compare(
    subject: Subject,
    in_force: &Entries<'_>,
    proposed: &Entries<'_>,
    found: &mut Listed<Difference>,
) {
    let names = in_force.keys().chain(proposed.keys());
    for key in names.collect::<BTreeSet<_>>() {
        let (old, new) = (in_force.get(key), proposed.get(key));
        let change = match (old, new) {
            (old, new) if old == new => continue,
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            _ => Change::Changed,
        };
        found.push_within(MAX_DIFFERENCES, || Difference {
            subject,
            name: key.0.to_string(),
            change,
            fields: field_changes(old, new),
        });
    }
}

fn field_changes(old: Option<&EntryFields<'_>>, new: Option<&EntryFields<'_>>) -> Vec<FieldChange> {
    let empty = EntryFields::default();
    let (old, new) = (old.unwrap_or(&empty), new.unwrap_or(&empty));
    let names = match old.fields.is_empty() {
        true => &new.fields,
        false => &old.fields,
    };
    let changes = names.iter().map(|(field, _)| FieldChange {
        field,
        in_force: old.get(field),
        proposed: new.get(field),
    });
    let mut changes = changes
        .filter(|change| change.in_force != change.proposed)
        .collect::<Vec<_>>();
    let key_change = |key, is_old: bool| FieldChange {
        field: "key",
        in_force: is_old.then(|| shown::key(key)),
        proposed: (!is_old).then(|| shown::key(key)),
    };
    changes.extend(
        old.keys
            .difference(&new.keys)
            .map(|key| key_change(key, true)),
    );
    changes.extend(
        new.keys
            .difference(&old.keys)
            .map(|key| key_change(key, false)),
    );
    changes
}

/// Numbers the entries of each name.
fn numbered<'a>(entries: impl Iterator<Item = (Arc<str>, EntryFields<'a>)>) -> Entries<'a> {
    let mut counts = HashMap::<Arc<str>, usize>::new();
    let numbered = entries.map(|(name, entry)| {
        let count = counts.entry(Arc::clone(&name)).or_default();
        *count += 1;
        ((name, *count), entry)
    });
    numbered.collect()
}

fn fields<'a, const N: usize>(fields: [(&'static str, Option<String>); N]) -> EntryFields<'a> {
    EntryFields {
        fields: fields.into(),
        keys: BTreeSet::new(),
    }
}

fn text(value: impl ToString) -> Option<String> {
    Some(value.to_string())
}

fn yes_or_no(value: bool) -> Option<String> {
    text(if value { "yes" } else { "no" })
}

fn whole_entry<'a>(configuration: &Configuration) -> EntryFields<'a> {
    let limits = &configuration.limits;
    fields([
        ("version", text(configuration.version)),
        ("keys needed", yes_or_no(configuration.customers.is_some())),
        ("largest head", text(limits.head)),
        ("largest body", text(limits.body)),
        ("head timeout", text(limits.head_timeout)),
        ("idle time", text(limits.idle)),
    ])
}

fn route_entries(configuration: &Configuration) -> Entries<'_> {
    let shadowing = shadowing(&configuration.routes);
    let routes = configuration.routes.iter().zip(shadowing);
    numbered(routes.map(|(route, by)| {
        let by = by.map(|by| &*configuration.routes[by].name);
        (Arc::clone(&route.name), route_entry(route, by))
    }))
}

fn route_entry<'a>(route: &Route, shadowed_by: Option<&str>) -> EntryFields<'a> {
    let models = route.models.join(", ");
    fields([
        ("host", text(&route.host)),
        ("prefix", text(&route.prefix)),
        ("requests", text(shown::retry(route.retry))),
        ("timeout", text(route.timeout)),
        ("objective", text(route.objective)),
        ("longest pause", route.max_pause.and_then(text)),
        ("rank", text(route.rank)),
        ("models", Some(models).filter(|models| !models.is_empty())),
        ("services", text(shown::targets(route))),
        ("attempts", text(route.max_attempts)),
        ("anonymous", yes_or_no(route.allows_anonymous)),
        ("shadowed by", shadowed_by.map(shown::name)),
    ])
}

fn service_entries(configuration: &Configuration) -> Entries<'_> {
    // A later entry replaces an earlier one of the same name.
    let services = configuration.services.iter();
    services
        .map(|service| ((Arc::clone(&service.name), 1), service_entry(service)))
        .collect()
}

fn service_entry<'a>(service: &Service) -> EntryFields<'a> {
    let (engine, cold) = (service.engine, service.cold_start);
    fields([
        ("connections", text(service.max_connections)),
        ("slots", engine.and_then(|engine| text(engine.slots))),
        (
            "memory in tokens",
            engine.and_then(|engine| text(engine.memory)),
        ),
        ("cold time", cold.and_then(|cold| text(cold.duration))),
        ("cold rate", cold.and_then(|cold| text(cold.rate.0))),
    ])
}

fn customer_entries(configuration: &Configuration) -> Entries<'_> {
    let customers = configuration.customers.as_deref().unwrap_or_default();
    let owners = owners(customers);
    numbered(customers.iter().enumerate().map(|(index, entry)| {
        let rank = entry.customer.rank;
        let keys = entry.keys.iter().filter(|key| owners[key].0 == index);
        let fields = EntryFields {
            fields: vec![("rank", rank.and_then(text))],
            keys: keys.collect(),
        };
        (Arc::clone(&entry.customer.name), fields)
    }))
}
