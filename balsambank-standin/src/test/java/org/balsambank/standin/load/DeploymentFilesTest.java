package org.balsambank.standin.load;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.CatalogueParser;
import org.balsambank.core.id.Revision;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that the generated catalogues of both deployments can be parsed and have the expected sizes. */
class DeploymentFilesTest {
    @Test
    void catalogueOfRiberaIsAccepted() throws Exception {
        checkCatalogue("ribera");
    }

    @Test
    void catalogueOfVysocinaIsAccepted() throws Exception {
        checkCatalogue("vysocina");
    }

    private static void checkCatalogue(final String name) throws Exception {
        final DeploymentFiles files = new DeploymentFiles(Profile.of(name), new Ports(0), 1, Profile.CONCURRENCY);
        final Catalogue catalogue =
                CatalogueParser.parse(name, files.catalogue().encodePrettily(), new Revision(1));
        assertEquals(3000, catalogue.adapters().size());
        assertEquals(5, catalogue.teams().size());
        assertEquals(Profile.ENGINES + Profile.SERVICES, catalogue.targets().size());
    }
}
