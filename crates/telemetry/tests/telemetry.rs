//! Tests that events reach the observer and metrics reach the Prometheus page.

use std::sync::Arc;

use umberpond_model::Version;
use umberpond_telemetry::{
    Direction, Event, FieldValue, MemoryRecorder, RequestDetail, Telemetry, VersionStage,
};

#[test]
fn observer_sees_events_in_order_with_typed_fields() {
    let recorder = Arc::new(MemoryRecorder::default());
    let telemetry = Telemetry::to_observer(recorder.clone());
    telemetry.emit(Event::BecameReady { version: Version(7) });
    telemetry.emit(Event::BecameUnready { reason: "back end".to_owned() });

    let events = recorder.events();
    assert_eq!(events.iter().map(Event::number).collect::<Vec<_>>(), [1003, 1004]);
    assert_eq!(events[0].fields()[0].value, FieldValue::Number(7));
    assert_eq!(events[1].fields()[0].value, FieldValue::Text("back end".to_owned()));
}

#[test]
fn metrics_page_contains_recorded_values() {
    let telemetry = Telemetry::silent();
    let metrics = telemetry.metrics();
    metrics.control(Direction::Out, "delta", 100);
    metrics.control(Direction::Out, "delta", 20);
    metrics.control(Direction::Out, "digest", 3);
    metrics.set_version(VersionStage::Active, Version(3));
    metrics.request("answered", RequestDetail::Status(200));
    metrics.request("rejected", RequestDetail::Reason("overload"));

    let page = metrics.encode();
    for line in [
        r#"umberpond_control_bytes_total{direction="out",kind="delta"} 120"#,
        r#"umberpond_control_messages_total{direction="out",kind="delta"} 2"#,
        r#"umberpond_version{stage="active"} 3"#,
        r#"umberpond_requests_total{outcome="answered",detail="200"} 1"#,
        r#"umberpond_requests_total{outcome="rejected",detail="overload"} 1"#,
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert_eq!(metrics.control_bytes(Direction::Out), 123);
}
