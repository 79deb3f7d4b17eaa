package org.balsambank.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * Base class of commands that call the operators' port of a VM.
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
            description = "URL of the operators' port of any VM. Default: the environment variable BALSAMBANK_SERVER.")
    private String server;

    @Option(
            type = OptionType.COMMAND,
            name = {"--token"},
            title = "TOKEN",
            description = "The operators' token. Default: the environment variable BALSAMBANK_TOKEN.")
    private String token;

    /**
     * Executes the command with a client of the server.
     *
     * @param client the client
     * @return the exit code
     * @throws CommandException if the command fails
     */
    protected abstract ExitCode execute(BlockingHttpClient client) throws CommandException;

    @Override
    protected final ExitCode execute() throws CommandException {
        final String url = optionOrVariable(server, SERVER_VARIABLE);
        final String bearerToken = optionOrVariable(token, TOKEN_VARIABLE);
        if (url.isEmpty()) {
            throw new CommandException(ExitCode.INVALID, "--server or " + SERVER_VARIABLE + " is required");
        }
        try (BlockingHttpClient client = new BlockingHttpClient(url, bearerToken)) {
            return execute(client);
        }
    }

    /**
     * Encodes a path segment.
     *
     * @param text the text
     * @return the percent-encoded segment
     */
    protected static String segment(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static String optionOrVariable(final String option, final String variable) {
        if (option != null) {
            return option;
        }
        final String value = System.getenv(variable);
        return value == null ? "" : value;
    }
}
