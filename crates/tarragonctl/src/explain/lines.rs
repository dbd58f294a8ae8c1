//! Parser of the event lines that hosts write.

use serde_json::{Map, Value};
use std::path::Path;

/// One event line.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    /// Name of the host that wrote the line.
    pub host: String,
    /// Unix time by the clock of that host, in milliseconds.
    pub at_ms: i64,
    fields: Map<String, Value>,
}

impl Line {
    /// Returns a text field, or `None` if it is missing or of another type.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns an integer field, or `None` if it is missing or of another type.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }

    /// Returns the ends of upstreams that the line lists, as names of upstream and host.
    pub fn ends(&self) -> Vec<(String, String)> {
        let ends = self.fields.get("ends").and_then(Value::as_array);
        let name = |end: &Value, key: &str| end[key].as_str().unwrap_or_default().to_owned();
        let ends = ends.into_iter().flatten();
        ends.map(|end| (name(end, "upstream"), name(end, "host"))).collect()
    }

    /// Returns the age of a kind of record in milliseconds; `None` if the line names none, or the store
    /// never confirmed it.
    pub fn record_age_ms(&self, kind: &str) -> Option<i64> {
        let ages = self.text("record_ages")?.split(' ');
        let age = ages.filter_map(|age| age.split_once('=')).find(|(name, _)| *name == kind);
        age?.1.parse().ok()
    }

    /// Returns the name of the event, or an empty text if the line has none.
    pub fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    /// Returns the Unix time at which the event began, in milliseconds.
    ///
    /// Lines are written at the end of an event, which lasted for `total_ms` or `took_ms`.
    pub fn start_ms(&self) -> i64 {
        self.at_ms - self.number("total_ms").or_else(|| self.number("took_ms")).unwrap_or(0)
    }

    /// Returns the upstreams that the line names.
    pub fn upstreams(&self) -> impl Iterator<Item = &str> {
        let names = ["upstream", "engine"].into_iter().filter_map(|name| self.text(name));
        names.filter(|name| !name.is_empty())
    }

    /// Formats the event and its fields, except those that the caller prints itself.
    pub fn describe(&self) -> String {
        let is_shown = |name: &str| !matches!(name, "event" | "at_ms" | "request");
        let shown = self.fields.iter().filter(|(name, _)| is_shown(name));
        let texts = shown.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        std::iter::once(self.event().to_owned()).chain(texts).collect()
    }
}

/// Parses the event lines of one file and skips all other lines.
///
/// A file may contain lines of several hosts if each line has the name of its host as the last word
/// before the JSON object. The `started` line names the host of all later lines with the same such
/// word; without a `started` line, the host is that word, or else the name of the file.
///
/// The field `at_ms` is the time since the start of the process, in milliseconds. It is converted
/// to Unix time by adding `process` of the `started` line, the start of the process as Unix time in
/// milliseconds.
pub(crate) fn read_lines(text: &str, path: &str) -> Vec<Line> {
    let file_stem = Path::new(path).file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let mut processes = std::collections::HashMap::<String, (String, i64)>::new();
    let mut lines = Vec::new();
    for raw in text.lines() {
        let Some(json_start) = raw.find('{') else { continue };
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&raw[json_start..]) else {
            continue;
        };
        let prefix_host =
            raw[..json_start].split_whitespace().last().unwrap_or_default().to_owned();
        let mut line = Line { host: prefix_host.clone(), at_ms: 0, fields };
        if line.event() == "started" {
            let host = line.text("host").map(str::to_owned);
            let host = host.or_else(|| file_stem.clone()).unwrap_or_default();
            processes.insert(prefix_host.clone(), (host, line.number("process").unwrap_or(0)));
        }
        if let Some((host, process_start_ms)) = processes.get(&prefix_host) {
            line.host.clone_from(host);
            line.at_ms = process_start_ms + line.number("at_ms").unwrap_or(0);
        } else {
            line.at_ms = line.number("at_ms").unwrap_or(0);
            if prefix_host.is_empty() {
                line.host = file_stem.clone().unwrap_or_default();
            }
        }
        lines.push(line);
    }
    lines
}
