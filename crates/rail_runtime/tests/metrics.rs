//! Rendered metrics.

use rail_runtime::Metrics;

/// Guards against a label value, such as the name of an upstream, that makes all metrics unreadable.
#[test]
fn an_odd_label_value_ends_its_label() {
    let metrics = Metrics::default();
    metrics.gauge_family("work", "Work", "upstream").set("a\"b\\c\nd", 1);
    metrics.reason_counters("calls", "Calls").count("x\"} 7\n");
    let text = metrics.render();
    let line = |start: &str| text.lines().find(|line| line.starts_with(start)).unwrap_or_default();
    assert_eq!(line("work{"), r#"work{upstream="a\"b\\c\nd"} 1"#);
    assert_eq!(line("calls_total{"), r#"calls_total{reason="x\"} 7\n"} 1"#);
}
