//! Configuration: the values read from the files and the environment, and errors that name the key at fault.

use std::collections::BTreeMap;

use mallowring::config::{Config, ConfigError};
use serde_json::{json, Value};

/// A valid node configuration.
fn node_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:2905", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "bulletin": "127.0.0.1:9092", "known": {"no": 3, "items": []},
        "settings": {"classes": [{"name": "a", "target": 2.0, "give_up": 9.0}], "n_instances": 4,
            "limits": {"connect_timeout": 0.25}, "tenants": [{"name": "acme", "portion": 0.5}]}})
}

/// Reads the configuration with `variable` set to the path of a file with this content.
fn read(variable: &str, content: &str, more_variables: &[(&str, &str)]) -> Result<Config, ConfigError> {
    let dir = std::env::temp_dir();
    let unique = format!("{:?}", std::thread::current().id()).replace(['(', ')'], "-");
    let path = dir.join(format!("mallowring-config-{}-{unique}", std::process::id()));
    std::fs::write(&path, content).expect("the file can be written");
    let mut env = BTreeMap::from([(variable.to_owned(), path.display().to_string())]);
    env.extend(more_variables.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())));
    let config = Config::read(&env);
    std::fs::remove_file(&path).expect("the file can be removed");
    config
}

#[test]
fn the_platforms_file_is_read_and_the_environment_takes_precedence() {
    let config =
        read("NODE_CONFIG", &node_config().to_string(), &[("NODE_LISTEN", "127.0.0.2:1")]).expect("fine");
    let platform = config.platform.expect("the platform front is on");
    assert_eq!(platform.listen.to_string(), "127.0.0.2:1");
    assert_eq!(
        (config.name.as_str(), config.seed, platform.roster_source.last_known_event),
        ("n3", 0x8c1f_30d2_7a5b_e964, 3)
    );
    assert_eq!(config.connect_timeout, 0.25);
    assert_eq!(config.tenants[0].name, "acme");
    assert!(config.sip.is_none(), "the SIP front is off on the platform");
}

#[test]
fn an_error_names_the_key() {
    let cases: [(&str, Value); 10] = [
        ("/seed", json!("xyz")),
        ("/listen", json!("nowhere")),
        ("/bulletin", json!(7)),
        ("/known/no", json!("three")),
        ("/limits/sockets", json!(5)),
        ("/limits/memory_mb", json!(-3)),
        ("/settings/classes/0/target", json!("soon")),
        ("/settings/classes", json!([])),
        ("/settings/limits/connect_timeout", json!(-1)),
        ("/settings/tenants/0/name", json!(null)),
    ];
    for (pointer, value) in cases {
        let mut config = node_config();
        *config.pointer_mut(pointer).expect("the key exists") = value;
        let error = read("NODE_CONFIG", &config.to_string(), &[]).expect_err(pointer).to_string();
        // Error messages write array indices differently, so only the last key of the path is compared.
        let key = pointer.rsplit('/').next().expect("the pointer has a key");
        assert!(error.contains(key), "{pointer}: {error}");
    }
    let error = |env: &[(&str, &str)]| {
        read("NODE_CONFIG", &node_config().to_string(), env).expect_err("bad").to_string()
    };
    assert!(error(&[("MALLOWRING_LOG", "loud")]).contains("MALLOWRING_LOG"));
    assert!(error(&[("NODE_LISTEN", "here")]).contains("NODE_LISTEN"));
    assert!(Config::read(&BTreeMap::new()).expect_err("nothing").to_string().contains("NODE_CONFIG"));
    let mut missing = node_config();
    missing.as_object_mut().expect("the configuration is an object").remove("bulletin");
    assert!(read("NODE_CONFIG", &missing.to_string(), &[])
        .expect_err("bad")
        .to_string()
        .contains("bulletin"));
}

#[test]
fn the_service_file_of_the_repository_is_valid_and_errors_in_it_name_the_key() {
    let text = std::fs::read_to_string("deploy/service.toml").expect("the service file can be read");
    let config = read("MALLOWRING_SERVICE", &text, &[]).expect("fine");
    assert!(config.platform.is_none());
    assert_eq!(config.sip.expect("on").exchanges.len(), 2);
    let cases = [
        ("transport = \"udp\"", "transport = \"smoke\"", "sip.exchanges[1].transport"),
        ("prefixes = [\"5021\"]", "prefixes = []", "sip.exchanges[0].prefixes"),
        ("urgent_class = \"event-alert\"", "urgent_class = \"none\"", "sip.urgent_class"),
        ("circuits = 40", "circuits = \"many\"", "sip.exchanges[0].circuits"),
        ("circuits = 40", "circuits = 40\nunknown = 1", "unknown"),
        ("n_instances = 3", "", "n_instances"),
        ("name = \"sismored\"", "name = ", "TOML"),
    ];
    for (old, new, key) in cases {
        assert!(text.contains(old), "{old}");
        let error = read("MALLOWRING_SERVICE", &text.replace(old, new), &[]).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
}

/// Runs the program itself: an unreadable configuration makes it exit with a failure that names the file.
#[test]
fn the_program_does_not_start_with_an_unreadable_configuration() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_mallowring"))
        .env_clear()
        .env("NODE_CONFIG", "/nonexistent/config.json")
        .output()
        .expect("the program runs");
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("/nonexistent/config.json"));
}
