//! Host lists with odd entries.

use crate::host_list;
use rstest::rstest;

#[rstest]
#[case::unknown_state(r#"{"name":"odd","state":"resting"}"#)]
#[case::no_name(r#"{"state":"leaving"}"#)]
#[case::name_of_another_type(r#"{"name":7,"state":"leaving"}"#)]
#[case::number_too_large(r#"{"name":"odd","state":1e999}"#)]
#[case::no_object("null")]
#[case::deeply_nested(&format!(r#"{{"name":{}{},"state":"live"}}"#,
    "[".repeat(100_000), "]".repeat(100_000)))]
fn odd_host_affects_no_other_host_of_the_list(#[case] odd: &str) {
    let list = format!(
        r#"{{"hosts":[{{"name":"h1","state":"leaving"}},{odd},
        {{"name":"h2","state":"live"}},{{"name":"h3","state":"leaving"}}]}}"#
    );
    let hosts = host_list::decode(list.as_bytes()).unwrap();
    let names: Vec<&str> = hosts.names.iter().map(|name| &**name).collect();
    assert_eq!(names, ["h1", "h3"]);
    assert_eq!(hosts.unreadable, 1);
}

#[test]
fn host_list_that_is_no_list_is_an_error() {
    for text in ["", "{", "[]", r#"{"hosts":7}"#] {
        assert!(host_list::decode(text.as_bytes()).is_err(), "{text}");
    }
}
