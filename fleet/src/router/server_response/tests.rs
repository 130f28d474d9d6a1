use super::*;

#[test]
fn server_load_is_parsed_strictly() {
    let load = |running, waiting, slots| {
        Some(ServerLoad {
            running,
            waiting,
            slots,
        })
    };
    assert_eq!(ServerLoad::parse("3,0,8"), load(3, 0, 8));
    assert_eq!(ServerLoad::parse(" 3 , 1 , 8 "), load(3, 1, 8));
    for value in [
        "",
        "3,0",
        "3,0,8,1",
        "3,0,0",
        "-1,0,8",
        "a,0,8",
        "3,0,99999999999",
        "3;0;8",
    ] {
        assert_eq!(ServerLoad::parse(value), None, "{value:?}");
    }
}
