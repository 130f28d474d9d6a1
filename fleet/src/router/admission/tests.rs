use super::*;
use lichenswitch_configuration::Document;

#[test]
fn quota_demand_follows_unit_of_tenant() {
    let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
        {"name":"tokens","unit":"token_count","uncachedTokens":200},{"name":"requests","unit":"else"}]}"#;
    let document = Document::parse(text).expect("valid");
    let tenants = document.tenants().expect("tenants");
    let request = |tokens| ClientRequest {
        tokens,
        ..ClientRequest::default()
    };
    let needs = |tokens| {
        [&tenants[0], &tenants[1]].map(|tenant| quota_demand(tenant, &request(tokens)).ok())
    };
    assert_eq!(needs(TokenUsage::Unspecified), [Some(200), Some(1)]);
    assert_eq!(needs(TokenUsage::Declared(12_000)), [Some(12_000), Some(1)]);
    assert_eq!(needs(TokenUsage::Invalid), [None, Some(1)]);
}
