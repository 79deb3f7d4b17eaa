package org.balsambank.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * The base of commands that call the operators' port of a VM.
 *
 * <p>Confined to one thread.
 */
public abstract class AbstractServerCommand extends AbstractCommand {
    private static final String SERVER_VARIABLE = "BALSAMBANK_SERVER";
    private static final String TOKEN_VARIABLE = "BALSAMBANK_TOKEN";

    @Option(
            type = OptionType.COMMAND,
            name = {"--server"},
            title = "URL",
            description = "Address of the operators' port of any VM. Default: the variable BALSAMBANK_SERVER.")
    private String server;

    @Option(
            type = OptionType.COMMAND,
            name = {"--token"},
            title = "TOKEN",
            description = "The operators' token. Default: the variable BALSAMBANK_TOKEN.")
    private String token;

    /**
     * Runs the command with a client of the server.
     *
     * @param client the client
     * @return how it ended
     * @throws CommandException if it could not do what was asked
     */
    protected abstract ExitCode execute(BlockingHttpClient client) throws CommandException;

    @Override
    protected final ExitCode execute() throws CommandException {
        final String address = orVariable(server, SERVER_VARIABLE);
        final String secret = orVariable(token, TOKEN_VARIABLE);
        if (address.isEmpty()) {
            throw new CommandException(ExitCode.INVALID, "--server or " + SERVER_VARIABLE + " is needed");
        }
        try (BlockingHttpClient client = new BlockingHttpClient(address, secret)) {
            return execute(client);
        }
    }

    /**
     * Encodes one segment of a path.
     *
     * @param text the text
     * @return the segment
     */
    protected static String segment(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static String orVariable(final String given, final String variable) {
        if (given != null) {
            return given;
        }
        final String value = System.getenv(variable);
        return value == null ? "" : value;
    }
}
