//! Parameters of a query.

use transport::http_server::query_parameter;

#[test]
fn a_parameter_is_found_by_its_name_and_decoded() {
    let uri = "/look-up?name=a%2Eexample%3A80&zone=n-1&empty=".parse();
    let uri = uri.expect("a target");
    let parameter = |name: &str| query_parameter(&uri, name);
    assert_eq!(parameter("name").as_deref(), Some("a.example:80"));
    assert_eq!(parameter("zone").as_deref(), Some("n-1"));
    assert_eq!(parameter("empty").as_deref(), Some(""));
    assert_eq!(parameter("region"), None);
    assert_eq!(
        query_parameter(&"/look-up".parse().expect("a target"), "name"),
        None
    );
}
