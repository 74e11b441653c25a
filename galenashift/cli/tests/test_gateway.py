"""The command for the users' platform."""

from click.testing import CliRunner

from galenashift.cli import main


def test_check_names_what_is_wrong(tmp_path):
    # A daemon that ends at its start says why only in its log.
    path = tmp_path / "local.toml"
    path.write_text('node = "d1"\n', "utf-8")
    result = CliRunner().invoke(main, ["gateway", "--check", str(path)])
    assert result.exit_code == 2
    assert "missing or wrong field" in result.output
