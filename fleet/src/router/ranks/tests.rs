//! Tests of `ranks`.

use super::*;

fn document(tenants: &str) -> Document {
    let route = |name: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h\",\"pathPrefix\":\"/{name}/\",\"priority\":{priority},\"service\":\"s\"}}"
        )
    };
    let (urgent, other) = (route("urgent", 0), route("other", 4));
    let text =
        format!("{{\"version\":1,\"routes\":[{urgent},{other}],\"services\":[{{\"name\":\"s\"}}]{tenants}}}");
    Document::parse(text.as_bytes()).expect("valid")
}

fn ranks(document: &Document, tenant: Option<usize>) -> Vec<u8> {
    let ranks = PriorityRanks::new(document);
    let tenant = tenant.map(|index| &document.tenants().expect("tenants")[index]);
    document
        .routes()
        .iter()
        .map(|route| ranks.rank(tenant, route))
        .collect()
}

#[test]
fn without_tenants_routes_keep_their_rank() {
    assert_eq!(ranks(&document(""), None), [0, 4]);
}

#[test]
fn tenant_rank_precedes_route_rank() {
    let document = document(
        ",\"tenants\":[{\"name\":\"a\",\"priority\":1},{\"name\":\"b\",\"priority\":0},{\"name\":\"c\"}]",
    );
    let (a, b, c) = (
        ranks(&document, Some(0)),
        ranks(&document, Some(1)),
        ranks(&document, Some(2)),
    );
    // Pairs in their order: (0, 0), (0, 4), (1, 0), (1, 4), (4, 4).
    assert_eq!((a, b, c), (vec![2, 3], vec![0, 1], vec![0, 4]));
    let all = PriorityRanks::new(&document)
        .ranks_of_route(document.tenants().expect("tenants"), &document.routes()[1]);
    assert_eq!(all.into_iter().collect::<Vec<_>>(), [1, 3, 4]);
}

#[test]
fn ranks_are_capped_at_ten() {
    let many: Vec<String> = (0..40)
        .map(|rank| format!("{{\"name\":\"t{rank}\",\"priority\":{rank}}}"))
        .collect();
    let document = document(&format!(",\"tenants\":[{}]", many.join(",")));
    assert_eq!(ranks(&document, Some(39)), [LOWEST_RANK, LOWEST_RANK]);
    assert_eq!(ranks(&document, Some(0)), [0, 1]);
}
