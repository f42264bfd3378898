//! Goodput, the rate of responses within their objective, at one, two and three times the capacity.

mod replay;

use replay::{CallKind, Kind, Load, Replay};

/// A lookup for which a person waits.
const LOOKUP: Kind =
    Kind { name: "lookup", service: 0, priority: 0, work: 140, objective: 400, deadline: 1_000, call: None };
/// An order at the same service.
const ORDER: Kind =
    Kind { name: "order", service: 0, priority: 1, work: 140, objective: 400, deadline: 1_000, call: None };

/// Slots of each service.
const SLOTS: f64 = 32.0;

/// Fraction of its goodput at full load that a service keeps under overload.
const MIN_GOODPUT_SHARE: f64 = 0.95;

#[test]
fn goodput_holds_under_overload_and_the_urgent_kind_is_served_first() {
    let measure = |load: f64| {
        let each = load * SLOTS / 0.140 / 2.0;
        let loads = [Load { kind: &LOOKUP, per_second: each }, Load { kind: &ORDER, per_second: each }];
        let replay = Replay::run(&[SLOTS as u32], &loads);
        println!("{load} times the load: {replay}");
        replay
    };
    let base = measure(1.0);
    for load in [2.0, 3.0] {
        let over = measure(load);
        assert!(
            over.goodput() >= MIN_GOODPUT_SHARE * base.goodput(),
            "{load} times the load: {over}, base: {base}"
        );
        let (lookup, order) = (over.served_share("lookup"), over.served_share("order"));
        assert!(lookup >= order, "{load} times the load: {over}");
    }
}

/// A call that lookups make to another service, whose route sets no priority.
const CHECK: Kind =
    Kind { name: "check", service: 1, priority: 9, work: 35, objective: 150, deadline: 400, call: None };
/// A [`LOOKUP`] with calls.
const CALLING_LOOKUP: Kind = Kind { call: Some(CallKind { kind: &CHECK, count: 2, share: 0.7 }), ..LOOKUP };
/// A request that callers send to the called service.
const PURCHASE: Kind = Kind {
    name: "purchase",
    service: 1,
    priority: 1,
    work: 180,
    objective: 600,
    deadline: 1_500,
    call: None,
};
/// Mean slot time in seconds taken by the calls of one lookup.
const CALL_SLOTS: f64 = 0.7 * 2.0 * 0.035;

/// Lookups, and purchases at the service that the lookups call. Both services have sufficient capacity at
/// load 1.
fn chain(load: f64, slots: [u32; 2], lookups: f64) -> Replay {
    let purchases = (f64::from(slots[1]) - lookups * CALL_SLOTS).max(0.0) / 0.180;
    let loads = [
        Load { kind: &CALLING_LOOKUP, per_second: load * lookups },
        Load { kind: &PURCHASE, per_second: load * purchases },
    ];
    let replay = Replay::run(&slots, &loads);
    println!("{load} times the load, {slots:?} slots: {replay}");
    replay
}

#[test]
fn goodput_holds_where_only_the_called_service_is_full() {
    let measure = |load| chain(load, [160, 32], 200.0);
    let base = measure(1.0);
    for load in [2.0, 3.0] {
        let over = measure(load);
        assert!(
            over.goodput() >= MIN_GOODPUT_SHARE * base.goodput(),
            "{load} times the load: {over}, base: {base}"
        );
        let (lookup, purchase) = (over.served_share("lookup"), over.served_share("purchase"));
        assert!(lookup >= purchase, "calls inherit the higher priority, {load} times: {over}");
    }
}

#[test]
fn goodput_holds_where_both_services_are_full() {
    let measure = |load| chain(load, [64, 32], 340.0);
    let base = measure(1.0);
    for load in [2.0, 3.0] {
        let over = measure(load);
        assert!(
            over.goodput() >= MIN_GOODPUT_SHARE * base.goodput(),
            "{load} times the load: {over}, base: {base}"
        );
    }
}

#[test]
fn goodput_holds_where_calls_alone_fill_the_called_service() {
    let measure = |load| chain(load, [64, 8], 155.0);
    let base = measure(1.0);
    for load in [2.0, 3.0] {
        let over = measure(load);
        assert!(
            over.goodput() >= MIN_GOODPUT_SHARE * base.goodput(),
            "{load} times the load: {over}, base: {base}"
        );
    }
}

/// A [`CALLING_LOOKUP`] that always makes its calls.
const ALWAYS_CALLING_LOOKUP: Kind =
    Kind { call: Some(CallKind { kind: &CHECK, count: 2, share: 1.0 }), ..LOOKUP };

/// Lookups whose calls saturate the called service, and orders that use only the slots of the calling
/// service.
fn shared(load: f64) -> Replay {
    let loads = [
        Load { kind: &ALWAYS_CALLING_LOOKUP, per_second: load * 105.0 },
        Load { kind: &ORDER, per_second: load * 290.0 },
    ];
    let replay = Replay::run(&[64, 8], &loads);
    println!("{load} times the load, shared: {replay}");
    replay
}

#[test]
fn the_urgent_kind_is_served_no_worse_where_its_runs_take_longer() {
    for load in [1.0, 2.0, 3.0] {
        let replay = shared(load);
        let (lookup, order) = (replay.served_share("lookup"), replay.served_share("order"));
        assert!(lookup >= order, "{load} times the load: {replay}");
    }
}

#[test]
fn goodput_holds_where_lookups_without_calls_take_the_slots_of_orders() {
    let base = shared(1.0);
    for load in [2.0, 3.0] {
        let over = shared(load);
        assert!(
            over.goodput() >= MIN_GOODPUT_SHARE * base.goodput(),
            "{load} times the load: {over}, base: {base}"
        );
    }
}
