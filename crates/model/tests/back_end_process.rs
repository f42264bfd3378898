//! Text form of back-end processes.

use umberpond_model::BackEndProcess;

#[test]
fn text_form_can_be_parsed() {
    for (instance, started_at) in
        [("i-1", None), ("i-1", Some(1_757_000_000_000)), ("i@x", None), ("i@x", Some(3))]
    {
        let process = BackEndProcess { instance: instance.to_owned(), started_at };
        assert_eq!(BackEndProcess::parse(&process.to_string()), process);
    }
}
